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

/// Thresholds of poison_detector.
struct poison_settings {
    /// A request is quarantined when this many different targets were lost while they ran it:
    /// counting only losses before the attempt's first token, or counting all losses.
    const std::size_t no_token_crash_threshold = 2;
    const std::size_t crash_threshold = 4;
    /// How long crashes are remembered, and how long a request stays quarantined.
    const core::duration window = std::chrono::minutes{10};
    /// After this many crashes by an account's quarantined requests, its next request that loses a
    /// target before the first token is quarantined at once.
    const std::size_t account_crash_threshold = 4;
    /// If this many targets are lost within `mass_loss_window`, no request is blamed.
    const std::size_t mass_loss_threshold = 3;
    const core::duration mass_loss_window = std::chrono::milliseconds{300};

    auto operator<=>(const poison_settings&) const = default;
};

/// Identifies a request by its account and prompt.
using fingerprint = core::number<struct fingerprint_tag>;

/// @return the fingerprint of a request
[[nodiscard]] fingerprint fingerprint_of(const core::account_name& account,
                                         std::string_view prompt);

/// Detects requests that crash the targets that run them (poison requests), so that they can be
/// quarantined. Opens no socket and reads no clock.
class poison_detector {
  public:
    explicit poison_detector(poison_settings settings = {}) : settings_{settings} {}

    /// Records that a target was lost while it ran a request.
    /// @param request the request
    /// @param account the account that sent it
    /// @param target the lost target
    /// @param had_no_token true if the attempt had produced no token
    /// @param now current instant
    void on_crash(fingerprint request, const core::account_name& account,
                  const core::target_name& target, bool had_no_token, core::instant now);

    /// Records that a target has finished a request, which clears it of earlier crashes.
    void on_finished(fingerprint request);

    /// Quarantines the pending requests whose `mass_loss_window` has passed without a mass loss,
    /// which would have excused them.
    /// @return the requests that are newly quarantined
    [[nodiscard]] std::vector<fingerprint> confirm_quarantines(core::instant now);

    /// @return when confirm_quarantines() is to be called next, empty if no request is pending
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return true if the quarantine of a request is pending; it must not run until that is
    ///         decided
    [[nodiscard]] bool is_pending(fingerprint request) const { return pending_.contains(request); }

    /// Quarantines a request until the given instant, unless it already is for longer.
    void quarantine(fingerprint request, core::instant until);

    /// @return true if the request must not run now
    [[nodiscard]] bool is_quarantined(fingerprint request, core::instant now) const;

    /// @return true if the request ran on a target that was lost. It should not share a target with
    ///         another such request, so that the next crash shows which of them is at fault.
    [[nodiscard]] bool is_suspect(fingerprint request, core::instant now) const;

    /// @return how long a request stays quarantined
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
    /// Requests to be quarantined, with the instant at which that takes effect.
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
