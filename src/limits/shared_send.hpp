#pragma once

#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "limits/send_policy.hpp"
#include "limits/share_settings.hpp"

namespace cyclamen::limits {

/// Keeps the queues of targets short that have fewer slots than there are instances. A target's
/// share is a token bucket whose rate falls when the target is full or slow, and rises while calls
/// wait. Without such signs nothing is limited.
class shared_send final : public send_policy {
  public:
    explicit shared_send(const share_settings& settings = {}) : settings_{settings} {}

    [[nodiscard]] send_decision decide(const send_request& request, core::instant now) override;
    [[nodiscard]] bool limits_at(core::instant now) const override;
    [[nodiscard]] double rate_of(const core::target_name& target) const override;
    void on_sent(const core::target_name& target, core::instant now) override;
    void on_answered(const core::target_name& target, core::duration goal, core::duration took,
                     core::instant now) override;
    void on_rejected(const core::target_name& target, core::instant now) override;
    void on_lost(const core::target_name& target, core::instant now) override;
    void on_ended(std::uint64_t number) override;
    void set_instances(std::size_t count, core::instant now) override;
    void on_listed(const core::target_name& target, std::uint32_t slots) override;
    void on_forgotten(const core::target_name& target) override;

    /// @return true if the targets have fewer slots than there are instances, so that the even
    ///         share of an instance is less than one call at a time
    [[nodiscard]] bool applies() const;
    /// @return lowest value of rate_of()
    [[nodiscard]] double min_rate_of(const core::target_name& target) const;
    /// @return calls that wait
    [[nodiscard]] std::size_t waiting() const { return line_.size(); }

  private:
    struct share {
        std::uint32_t slots = 0;
        /// In even shares.
        double rate = 1.0;
        double tokens = 0.0;
        core::instant refilled_at{};
        core::instant decreased_at{};
    };
    /// Late calls last, then by urgency, arrival and number.
    using place = std::tuple<bool, std::uint32_t, core::instant, std::uint64_t>;

    const share_settings settings_;
    std::size_t instances_ = 1;
    std::optional<core::instant> started_at_;
    std::map<core::target_name, share> shares_;
    std::set<place> line_;
    std::map<std::uint64_t, place> places_;
    /// Last time that a target was full or slow, that a call waited, and the later of them.
    std::optional<core::instant> full_at_;
    std::optional<core::instant> waited_at_;
    std::optional<core::instant> pressed_at_;
    /// Place that the caller refused last was told.
    core::instant returns_until_{};
    double usual_seconds_ = 0.0;
    core::duration goal_{};

    [[nodiscard]] double even_share(const share& of) const;
    [[nodiscard]] core::duration usual_time() const;
    /// @return true if this process knows the fleet for a short time only
    [[nodiscard]] bool is_new(core::instant now) const;
    void press(const core::target_name& target, core::instant now);
    void begin_limit(double tokens, core::instant now);
    void refill(core::instant now);
    [[nodiscard]] std::optional<core::target_name> free_target(const send_request& request,
                                                               std::size_t ahead) const;
    /// @return when there is a place behind `ahead` calls
    [[nodiscard]] core::instant next_place(const send_request& request, std::size_t ahead,
                                           core::instant now) const;
    [[nodiscard]] double total_rate(const send_request& request) const;
    [[nodiscard]] std::size_t calls_before(const place& own) const;
    [[nodiscard]] std::size_t late_calls() const;
    send_decision wait(const place& own, core::instant turn, core::instant now);
    send_decision refuse(const send_request& request, core::instant turn, core::instant now);
};

} // namespace cyclamen::limits
