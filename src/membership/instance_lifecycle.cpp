#include "membership/instance_lifecycle.hpp"

namespace cyclamen::membership {

instance_lifecycle::instance_lifecycle(lifecycle_settings settings,
                                       std::shared_ptr<const chart::chart> definition,
                                       lifecycle_host& host)
    : settings_{settings}, machine_{std::move(definition)}, host_{host}
{
}

void instance_lifecycle::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
}

void instance_lifecycle::raise(instance_event event, core::instant now)
{
    now_ = now;
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

void instance_lifecycle::on_timer(core::instant now)
{
    now_ = now;
    for (auto event = timers_.take_expired(now); event.has_value();
         event = timers_.take_expired(now)) {
        machine_.raise(*event, *this);
    }
}

bool instance_lifecycle::holds(chart::symbol /*guard*/) const
{
    return false;
}

void instance_lifecycle::perform(chart::symbol action)
{
    switch (static_cast<instance_action>(action)) {
    case instance_action::announce_serving:
        host_.announce(api::member_state::serving);
        break;
    case instance_action::announce_draining:
        host_.announce(api::member_state::draining);
        break;
    case instance_action::refuse_work:
        host_.refuse_work();
        break;
    case instance_action::note_cut_work:
        work_cut_ = true;
        break;
    case instance_action::announce_gone:
        host_.announce(api::member_state::gone);
        break;
    case instance_action::end_process:
        host_.end_process(work_cut_);
        break;
    }
}

void instance_lifecycle::start_timer(chart::state_timeout timeout)
{
    const auto kind = static_cast<instance_timeout>(timeout.timeout);
    timers_.start(timeout, now_ + duration_of(kind));
}

void instance_lifecycle::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

core::duration instance_lifecycle::duration_of(instance_timeout timeout) const
{
    return timeout == instance_timeout::drain_limit ? settings_.drain_limit
                                                    : settings_.departure_time;
}

} // namespace cyclamen::membership
