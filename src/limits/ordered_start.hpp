#pragma once

#include <array>

#include "limits/on_time_start.hpp"

namespace cyclamen::limits {

/// Limits of ordered_start.
struct ordered_settings {
    /// Fraction of its share of requests that a kind may use at least, however many more urgent
    /// ones come.
    const double min_share = 0.4;
    /// Fraction of requests for which engines have no room from which on all that less urgent kinds
    /// may use beyond that is kept free for the others.
    const double full_scarcity = 0.5;
    /// Fraction of the goal for which a request looks for free memory before it takes that of less
    /// urgent ones, whose prompts are read again.
    const double yield_after_fraction = 0.25;
    /// Weight of a new sample in the moving averages.
    const double smoothing = 0.1;
    on_time_settings on_time = {};

    auto operator<=>(const ordered_settings&) const = default;
};

/// Starts requests in order of urgency. A request counts only the work that is at least as urgent,
/// since engines admit it first and preempt the rest. Less urgent ones leave memory free for the
/// more urgent ones that are expected while they run, so that they are not preempted after their
/// prompts were read, and may add no more work at an engine than those could wait for. Requests
/// without an urgency start as with on_time_start.
class ordered_start final : public start_policy {
  public:
    explicit ordered_start(ordered_settings settings = {})
        : settings_{settings}, plain_{settings.on_time}, within_order_{unspread(settings.on_time)}
    {
    }

    [[nodiscard]] start_decision decide(const start_request& request,
                                        const engine_load& load) const override;
    [[nodiscard]] bool has_room_for_copy(const start_request& request,
                                         const engine_load& load) const override;
    void on_arrival(const start_request& request) override;
    void on_asked(const start_request& request, const engine_load& load) override;
    void on_first_event(const start_observation& seen) override;
    void on_finished(core::duration run_time) override;

  private:
    const ordered_settings settings_;
    on_time_start plain_;
    /// Decides on requests with an urgency, about the load that counts for them.
    on_time_start within_order_;
    /// Share of each urgency among the requests that have arrived; moving averages with sum 1, or 0
    /// before the first one.
    std::array<double, urgency_count> shares_{};
    /// Goals of the kinds of each urgency; zero if none has arrived.
    std::array<core::duration, urgency_count> goals_{};
    /// How often engines had no room, from 0 to 1.
    double scarcity_ = 0.0;

    [[nodiscard]] static on_time_settings unspread(const on_time_settings& settings);
    /// @return share of requests that are more urgent
    [[nodiscard]] double share_before(urgency_rank urgency) const;
    /// @return the request with the goal of the most urgent kind that it could delay
    [[nodiscard]] start_request with_strictest_goal(const start_request& request) const;
    /// @return the load that counts for the request, without memory kept free
    [[nodiscard]] engine_load load_before(const start_request& request,
                                          const engine_load& load) const;
    /// @return tokens of memory that the request leaves free for more urgent ones
    [[nodiscard]] double reserve(const start_request& request, const engine_load& load) const;
};

} // namespace cyclamen::limits
