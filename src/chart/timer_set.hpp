#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "chart/chart.hpp"
#include "core/time.hpp"

namespace cyclamen::chart {

/// The running timers of one machine. Used by hosts of machines to implement start_timer() and
/// stop_timer().
class timer_set {
  public:
    /// Starts or restarts a timer.
    void start(const state_timeout& timeout, core::instant deadline)
    {
        timers_.insert_or_assign(timeout.timeout, std::pair{deadline, timeout.event});
    }

    /// Stops a timer. No effect if it isn't running.
    void stop(const state_timeout& timeout) { timers_.erase(timeout.timeout); }

    /// @return when the first timer expires, empty if none is running
    [[nodiscard]] std::optional<core::instant> next_deadline() const
    {
        const auto first = find_first();
        return first == timers_.end() ? std::nullopt : std::optional{first->second.first};
    }

    /// Removes the earliest timer if it has expired.
    /// @return its event, empty if no timer has expired
    [[nodiscard]] std::optional<symbol> take_expired(core::instant now)
    {
        const auto first = find_first();
        if (first == timers_.end() || first->second.first > now) {
            return std::nullopt;
        }
        const symbol event = first->second.second;
        timers_.erase(first);
        return event;
    }

  private:
    using timer_map = std::map<symbol, std::pair<core::instant, symbol>>;
    timer_map timers_;

    [[nodiscard]] timer_map::const_iterator find_first() const
    {
        return std::min_element(timers_.begin(), timers_.end(),
                                [](const auto& left, const auto& right) {
                                    return left.second.first < right.second.first;
                                });
    }
};

} // namespace cyclamen::chart
