#include "routing/target_health.hpp"

#include <algorithm>

namespace cyclamen::routing {

target_health::target_health(const health_settings& settings,
                             std::shared_ptr<const chart::chart> definition,
                             ejection_budget& budget)
    : settings_{settings}, budget_{budget}, machine_{std::move(definition)}
{
    machine_.start(*this);
}

target_health::~target_health()
{
    if (is_counted_ejected_) {
        budget_.on_ejection_changed(false);
    }
}

void target_health::on_loss(core::instant now)
{
    raise(target_health_event::loss_seen, now);
}

void target_health::on_success(core::instant now)
{
    raise(target_health_event::success_seen, now);
}

void target_health::on_leaving(core::instant now)
{
    raise(target_health_event::leave_heard, now);
}

void target_health::on_returned(core::instant now)
{
    raise(target_health_event::return_heard, now);
}

readiness target_health::current_readiness(core::instant now)
{
    fire_due_timer(now);
    const std::string& state = machine_.state_name();
    if (state == "ejected") {
        return readiness::ejected;
    }
    if (state == "leaving") {
        return readiness::leaving;
    }
    return state == "suspect" ? readiness::suspect : readiness::ready;
}

double target_health::weight(core::instant now)
{
    fire_due_timer(now);
    if (machine_.state_name() != "probing") {
        return 1.0;
    }
    const double seconds = core::to_seconds(now - ramp_begun_);
    const double shown =
        static_cast<double>(ramp_successes_) / static_cast<double>(settings_.ramp_successes);
    const double earned = std::min(seconds / core::to_seconds(settings_.ramp_time), shown);
    const double waited = seconds / core::to_seconds(settings_.unproven_ramp_time);
    return std::clamp(std::max(earned, waited), settings_.initial_weight, 1.0);
}

void target_health::raise(target_health_event event, core::instant now)
{
    fire_due_timer(now);
    now_ = now;
    machine_.raise(static_cast<chart::symbol>(event), *this);
    update_ejection_count();
}

void target_health::fire_due_timer(core::instant now)
{
    while (timer_deadline_.has_value() && *timer_deadline_ <= now) {
        now_ = *timer_deadline_;
        timer_deadline_.reset();
        machine_.raise(static_cast<chart::symbol>(target_health_event::time_passed), *this);
        update_ejection_count();
    }
}

void target_health::update_ejection_count()
{
    const bool ejected = machine_.state_name() == "ejected";
    if (ejected != is_counted_ejected_) {
        is_counted_ejected_ = ejected;
        budget_.on_ejection_changed(ejected);
    }
}

core::duration target_health::ejection_time() const
{
    core::duration time = settings_.base_ejection_time;
    for (std::uint32_t i = 1; i < ejections_ && time < settings_.max_ejection_time; ++i) {
        time *= 2;
    }
    return std::min(time, settings_.max_ejection_time);
}

bool target_health::holds(chart::symbol guard) const
{
    switch (static_cast<target_health_guard>(guard)) {
    case target_health_guard::ejection_due:
        // The score does not include the current loss yet.
        return score_ + 1 >= settings_.ejection_threshold && budget_.can_eject_another();
    case target_health_guard::ejection_allowed:
        return budget_.can_eject_another();
    case target_health_guard::ramp_complete:
        break;
    }
    return ramp_successes_ + 1 >= settings_.ramp_successes &&
           now_ - ramp_begun_ >= settings_.ramp_time;
}

void target_health::perform(chart::symbol action)
{
    switch (static_cast<target_health_action>(action)) {
    case target_health_action::count_loss:
        score_ += 1;
        break;
    case target_health_action::count_success:
        score_ *= settings_.success_decay;
        ++ramp_successes_;
        break;
    case target_health_action::forget_losses:
        score_ = 0;
        ejections_ = 0;
        break;
    case target_health_action::note_ejection:
        ++ejections_;
        break;
    case target_health_action::start_ramp:
        ramp_begun_ = now_;
        ramp_successes_ = 0;
        break;
    }
}

void target_health::start_timer(chart::state_timeout timeout)
{
    const bool is_ejection =
        static_cast<target_health_timeout>(timeout.timeout) == target_health_timeout::ejection;
    timer_deadline_ = now_ + (is_ejection ? ejection_time() : settings_.suspect_time);
}

void target_health::stop_timer(chart::state_timeout /*timeout*/)
{
    timer_deadline_.reset();
}

} // namespace cyclamen::routing
