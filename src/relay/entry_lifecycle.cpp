#include "relay/entry_lifecycle.hpp"

#include <algorithm>

namespace cyclamen::relay {

const chart::vocabulary& entry_lifecycle_vocabulary()
{
    static const chart::vocabulary words{
        {"ready", "stop_ordered", "lingered", "idle_check_due", "drain_overdue", "closing_ended"},
        {"work_open"},
        {"announce_serving", "announce_leaving", "refuse_connections", "note_cut_work",
         "fail_open_requests", "end_process"},
        {"linger_time", "idle_check", "drain_limit", "closing_time"}};
    return words;
}

entry_lifecycle::entry_lifecycle(entry_lifecycle_settings settings,
                                 std::shared_ptr<const chart::chart> definition,
                                 entry_lifecycle_host& host)
    : settings_{settings}, machine_{std::move(definition)}, host_{host}
{
}

void entry_lifecycle::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
}

void entry_lifecycle::raise(entry_lifecycle_event event, core::instant now)
{
    now_ = now;
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

void entry_lifecycle::on_timer(core::instant now)
{
    now_ = now;
    for (auto event = timers_.take_expired(now); event.has_value();
         event = timers_.take_expired(now)) {
        machine_.raise(*event, *this);
    }
}

std::optional<core::duration> entry_lifecycle::time_for_requests(core::instant now) const
{
    if (machine_.is_final()) {
        return core::duration::zero();
    }
    if (!work_ends_at_.has_value()) {
        return std::nullopt;
    }
    return std::max(*work_ends_at_ - now, core::duration::zero());
}

bool entry_lifecycle::holds(chart::symbol /*guard*/) const
{
    return host_.has_work();
}

void entry_lifecycle::perform(chart::symbol action)
{
    switch (static_cast<entry_lifecycle_action>(action)) {
    case entry_lifecycle_action::announce_serving:
        host_.announce(true);
        break;
    case entry_lifecycle_action::announce_leaving:
        host_.announce(false);
        break;
    case entry_lifecycle_action::refuse_connections:
        host_.refuse_connections();
        break;
    case entry_lifecycle_action::note_cut_work:
        work_cut_ = host_.has_work();
        break;
    case entry_lifecycle_action::fail_open_requests:
        host_.fail_open_requests();
        break;
    case entry_lifecycle_action::end_process:
        host_.end_process(work_cut_);
        break;
    }
}

void entry_lifecycle::start_timer(chart::state_timeout timeout)
{
    const core::instant due =
        now_ + duration_of(static_cast<entry_lifecycle_timeout>(timeout.timeout));
    if (static_cast<entry_lifecycle_timeout>(timeout.timeout) ==
        entry_lifecycle_timeout::drain_limit) {
        work_ends_at_ = due;
    }
    timers_.start(timeout, due);
}

core::duration entry_lifecycle::duration_of(entry_lifecycle_timeout timeout) const
{
    switch (timeout) {
    case entry_lifecycle_timeout::linger_time:
        return settings_.linger_time;
    case entry_lifecycle_timeout::idle_check:
        return settings_.idle_check;
    case entry_lifecycle_timeout::drain_limit:
        return settings_.drain_limit - settings_.closing_time;
    case entry_lifecycle_timeout::closing_time:
        return settings_.closing_time;
    }
    return core::duration::zero();
}

void entry_lifecycle::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::relay
