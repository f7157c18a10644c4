#include "replica/copy_freshness.hpp"

#include "core/log.hpp"

namespace cyclamen::replica {

const chart::vocabulary& freshness_vocabulary()
{
    static const chart::vocabulary words{
        {"confirmed", "outdated"}, {"is_recent"}, {"start_probe", "end_probe"}, {"max_age"}};
    return words;
}

copy_freshness::copy_freshness(core::duration max_age,
                               std::shared_ptr<const chart::chart> definition, freshness_host& host)
    : max_age_{max_age}, machine_{std::move(definition)}, host_{host}
{
}

void copy_freshness::start()
{
    machine_.start(*this);
}

bool copy_freshness::confirm(core::instant at, core::instant now)
{
    if (confirmed_at_.has_value() && at <= *confirmed_at_) {
        return false;
    }
    confirmed_at_ = at;
    now_ = now;
    machine_.raise(static_cast<chart::symbol>(freshness_event::confirmed), *this);
    return true;
}

void copy_freshness::on_timer(core::instant now)
{
    now_ = now;
    while (const auto event = timers_.take_expired(now)) {
        machine_.raise(*event, *this);
    }
}

std::optional<core::duration> copy_freshness::age(core::instant now) const
{
    return confirmed_at_.has_value() ? std::optional{now - *confirmed_at_} : std::nullopt;
}

bool copy_freshness::holds(chart::symbol /*guard*/) const
{
    return now_ - *confirmed_at_ < max_age_;
}

void copy_freshness::perform(chart::symbol action)
{
    const bool on = static_cast<freshness_action>(action) == freshness_action::start_probe;
    core::log_event(
        core::log_level::info, on ? "configuration_outdated" : "configuration_confirmed",
        {{"confirmed_ms_ago", core::to_milliseconds(age(now_).value_or(core::duration::zero()))}});
    host_.probe_store(on);
}

void copy_freshness::start_timer(chart::state_timeout timeout)
{
    timers_.start(timeout, *confirmed_at_ + max_age_);
}

void copy_freshness::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::replica
