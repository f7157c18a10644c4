#include "relay/entry_lifecycle.hpp"

namespace cyclamen::relay {

const chart::vocabulary& entry_lifecycle_vocabulary()
{
    static const chart::vocabulary words{
        {"ready", "stop_ordered", "lingered", "idle_check_due", "drain_overdue"},
        {"work_open"},
        {"announce_serving", "announce_leaving", "refuse_connections", "note_cut_work",
         "end_process"},
        {"linger_time", "idle_check", "drain_limit"}};
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
    case entry_lifecycle_action::end_process:
        host_.end_process(work_cut_);
        break;
    }
}

void entry_lifecycle::start_timer(chart::state_timeout timeout)
{
    core::duration length = settings_.linger_time;
    if (static_cast<entry_lifecycle_timeout>(timeout.timeout) ==
        entry_lifecycle_timeout::idle_check) {
        length = settings_.idle_check;
    }
    if (static_cast<entry_lifecycle_timeout>(timeout.timeout) ==
        entry_lifecycle_timeout::drain_limit) {
        length = settings_.drain_limit;
    }
    timers_.start(timeout, now_ + length);
}

void entry_lifecycle::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::relay
