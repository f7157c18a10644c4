#pragma once

#include <map>

#include "core/time.hpp"
#include "limits/urgency.hpp"

namespace cyclamen::limits {

/// Limits of return_schedule.
struct return_settings {
    /// Shortest delay given to a refused caller: reports of engines are that old.
    const core::duration min_delay = std::chrono::milliseconds{200};
    /// Longest delay.
    const core::duration max_delay = std::chrono::seconds{10};
    /// Bounds of the time between two places.
    const core::duration min_interval = std::chrono::milliseconds{50};
    const core::duration max_interval = std::chrono::seconds{2};
    /// Weight of a new sample in the mean time between two starts.
    const double smoothing = 0.2;

    auto operator<=>(const return_settings&) const = default;
};

/// Times at which the refused callers of one service return: consecutive places at the rate at
/// which this instance starts requests. A place that a less urgent caller holds is free for a more
/// urgent one, which is served first when both return.
class return_schedule {
  public:
    explicit return_schedule(return_settings settings = {}) : settings_{settings} {}

    /// Learns the rate of starts.
    void on_started(core::instant now);

    /// @param urgency urgency of a refused caller
    /// @param room_after expected time until there is room for its request
    /// @return delay for the caller
    [[nodiscard]] core::duration assign(urgency_rank urgency, core::duration room_after,
                                        core::instant now);

  private:
    const return_settings settings_;
    core::instant last_start_{};
    core::duration mean_interval_{};
    /// Urgency of the callers that return, by time.
    std::multimap<core::instant, urgency_rank> places_;

    [[nodiscard]] core::duration interval() const;
    /// @return end of the last place that conflicts with one at that time, that time if there is
    /// none
    [[nodiscard]] core::instant end_of_conflict(urgency_rank urgency, core::instant at) const;
};

} // namespace cyclamen::limits
