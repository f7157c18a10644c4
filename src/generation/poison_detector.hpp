#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::generation {

/// Limits of a poison_detector.
struct poison_settings {
    /// Crashes on so many different targets quarantine a request: full ones, where the attempt had
    /// brought no token, and those of any kind.
    const std::size_t no_token_crash_threshold = 2;
    const std::size_t crash_threshold = 4;
    /// How long crashes are remembered, and how long a request is not run.
    const core::duration window = std::chrono::minutes{10};
    /// After so many crashes by quarantined requests an account's next one is quarantined at once.
    const std::size_t account_crash_threshold = 4;
    /// So many targets lost within `mass_loss_window` are the fault of no request.
    const std::size_t mass_loss_threshold = 3;
    const core::duration mass_loss_window = std::chrono::milliseconds{300};

    auto operator<=>(const poison_settings&) const = default;
};

/// Names a request by its account and prompt.
using fingerprint = core::number<struct fingerprint_tag>;

/// @return the fingerprint of a request
[[nodiscard]] fingerprint fingerprint_of(const core::account_name& account,
                                         std::string_view prompt);

/// Finds the requests that crash the targets that run them. Opens no socket and reads no clock.
class poison_detector {
  public:
    explicit poison_detector(poison_settings settings = {}) : settings_{settings} {}

    /// A target was lost while it ran a request.
    /// @param request the request
    /// @param account whose it is
    /// @param target the target
    /// @param had_no_token true where the attempt had brought no token
    /// @param now current instant
    void on_crash(fingerprint request, const core::account_name& account,
                  const core::target_name& target, bool had_no_token, core::instant now);

    /// Ends the time in which more targets may be lost, which would excuse the requests.
    /// @return the requests that are quarantined now
    [[nodiscard]] std::vector<fingerprint> confirm_quarantines(core::instant now);

    /// @return when confirm_quarantines() is due next, empty where nothing waits
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return true where a request is about to be quarantined: it isn't run until that is settled
    [[nodiscard]] bool is_pending(fingerprint request) const { return pending_.contains(request); }

    /// Another instance has found a request that crashes targets.
    void quarantine(fingerprint request, core::instant until);

    /// @return true where the request must not be run now
    [[nodiscard]] bool is_quarantined(fingerprint request, core::instant now) const;

    /// @return true where the request ran on a target that was lost: it should not run beside
    ///         another such request, so that it becomes clear which of them was at fault
    [[nodiscard]] bool is_suspect(fingerprint request, core::instant now) const;

    /// @return how long a request that is found now isn't run
    [[nodiscard]] core::duration window() const { return settings_.window; }

  private:
    /// The crashes of one request.
    struct crash_record {
        core::account_name account;
        std::set<core::target_name> targets;
        std::set<core::target_name> no_token_targets;
        core::instant last_crash;
    };

    const poison_settings settings_;
    std::map<fingerprint, crash_record> suspects_;
    /// Requests that are to be quarantined, with the instant.
    std::map<fingerprint, core::instant> pending_;
    std::map<fingerprint, core::instant> quarantined_until_;
    std::map<core::account_name, std::deque<core::instant>> account_crashes_;
    std::map<core::target_name, core::instant> lost_targets_;

    void forget_expired(core::instant now);
    [[nodiscard]] bool is_mass_loss() const;
    void excuse_recent_crashes();
    [[nodiscard]] bool exceeds_threshold(const crash_record& crashes) const;
    [[nodiscard]] bool account_exceeds_threshold(const core::account_name& account) const;
};

} // namespace cyclamen::generation
