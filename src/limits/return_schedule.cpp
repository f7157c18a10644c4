#include "limits/return_schedule.hpp"

#include <algorithm>

namespace cyclamen::limits {

void return_schedule::on_started(core::instant now)
{
    if (last_start_ != core::instant{}) {
        const core::duration since = std::min(now - last_start_, settings_.max_interval);
        mean_interval_ =
            mean_interval_ == core::duration::zero()
                ? since
                : mean_interval_ + core::fraction_of(since - mean_interval_, settings_.smoothing);
    }
    last_start_ = now;
}

core::duration return_schedule::interval() const
{
    return mean_interval_ == core::duration::zero()
               ? settings_.max_interval
               : std::clamp(mean_interval_, settings_.min_interval, settings_.max_interval);
}

core::instant return_schedule::end_of_conflict(urgency_rank urgency, core::instant at) const
{
    const core::duration length = interval();
    core::instant end = at;
    for (auto each = places_.upper_bound(at - length);
         each != places_.end() && each->first < at + length; ++each) {
        if (each->second <= urgency) {
            end = std::max(end, each->first + length);
        }
    }
    return end;
}

core::duration return_schedule::assign(urgency_rank urgency, core::duration room_after,
                                       core::instant now)
{
    places_.erase(places_.begin(), places_.lower_bound(now - interval()));
    const core::instant last = now + settings_.max_delay;
    core::instant at = std::min(now + std::max(room_after, settings_.min_delay), last);
    for (core::instant next = end_of_conflict(urgency, at); next != at && at < last;
         next = end_of_conflict(urgency, at)) {
        at = std::min(next, last);
    }
    // Callers that find no place share the last instant, which needs no entry.
    if (at < last) {
        places_.emplace(at, urgency);
    }
    return at - now;
}

} // namespace cyclamen::limits
