#include "generation/timer_queue.hpp"

namespace cyclamen::generation {

void timer_queue::start(const key& timer, core::instant deadline)
{
    stop(timer);
    timers_.emplace(timer, deadline);
    deadlines_.emplace(deadline, timer);
}

void timer_queue::stop(const key& timer)
{
    const auto found = timers_.find(timer);
    if (found != timers_.end()) {
        deadlines_.erase({found->second, timer});
        timers_.erase(found);
    }
}

std::optional<core::instant> timer_queue::next_deadline() const
{
    if (deadlines_.empty()) {
        return std::nullopt;
    }
    return deadlines_.begin()->first;
}

std::optional<timer_queue::key> timer_queue::take_expired(core::instant now)
{
    if (deadlines_.empty() || deadlines_.begin()->first > now) {
        return std::nullopt;
    }
    const key timer = deadlines_.begin()->second;
    stop(timer);
    return timer;
}

} // namespace cyclamen::generation
