#pragma once

#include <compare>
#include <cstddef>

#include "core/time.hpp"

namespace cyclamen::limits {

/// Parameters of shared_send. An even share is a target's slots over the usual time of a call, over
/// the number of instances.
struct share_settings {
    /// Rate of a target when the limit comes into force, in even shares.
    const double first_rate = 1.2;
    /// Lowest and highest rate of a target, in even shares.
    const double min_rate = 0.3;
    const double max_rate = 8.0;
    /// Factor on the rate of a target that rejects or is slow.
    const double decrease = 0.6;
    /// Even shares added in a second while calls wait.
    const double increase = 0.15;
    /// The same before any target was full or slow.
    const double first_increase = 1.5;
    /// Shortest time between two decreases of a target's rate: the queue that a decrease shortens
    /// answers a goal later.
    const double decrease_pause_goals = 2.0;
    const core::duration max_decrease_pause = std::chrono::seconds{1};
    /// Calls that may be sent to a target at once after a pause.
    const double burst = 1.25;
    /// An answer is slow if it took this fraction of its goal, and several times the usual time.
    const double slow_goal_fraction = 0.7;
    const double slow_factor = 2.0;
    /// Usual time of a call before any was answered, as a fraction of the goal.
    const double assumed_goal_fraction = 0.25;
    /// Weight of an answer in the usual time of a call.
    const double smoothing = 0.1;
    /// The limit is lifted when for this time no target was full or slow and no call waited.
    const core::duration quiet_time = std::chrono::seconds{3};
    /// Calls that may wait.
    const std::size_t max_waiting = 16;
    /// Calls that may wait although their answer will be late.
    const std::size_t max_late = 2;
    /// Places that they leave free.
    const std::size_t kept_places = 2;
    /// Part of the time until the deadline for which such a call may wait.
    const double late_wait_fraction = 0.3;
    /// Longest time after which a waiting call asks again.
    const core::duration ask_pause = std::chrono::milliseconds{20};
    const core::duration max_retry_after = std::chrono::seconds{2};

    auto operator<=>(const share_settings&) const = default;
};

} // namespace cyclamen::limits
