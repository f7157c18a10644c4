#include "relay/run_protection.hpp"

namespace cyclamen::relay {

const chart::vocabulary& protection_vocabulary()
{
    static const chart::vocabulary words{{"standby_lost", "standby_found", "standby_missing",
                                          "seek_due", "copy_made", "copy_failed", "renewal_due"},
                                         {},
                                         {"seek_standby", "copy_run", "keep_copy", "drop_copy"},
                                         {"seek_pause", "copy_limit", "renewal_pause"}};
    return words;
}

run_protection::run_protection(run_copy mirror, core::duration copy_retention,
                               protection_settings settings,
                               std::shared_ptr<const chart::chart> definition,
                               protection_host& host)
    : mirror_{std::move(mirror)}, copy_retention_{copy_retention}, settings_{settings},
      machine_{std::move(definition)}, host_{host}
{
}

void run_protection::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
}

void run_protection::on_standby_lost(core::instant now)
{
    raise(protection_event::standby_lost, now);
}

void run_protection::on_copied(const std::optional<run_copy>& copy, core::instant now)
{
    if (copy.has_value()) {
        new_copy_.emplace(*copy);
    }
    raise(copy.has_value() ? protection_event::copy_made : protection_event::copy_failed, now);
}

void run_protection::on_timer(core::instant now)
{
    for (auto event = timers_.take_expired(now); event.has_value();
         event = timers_.take_expired(now)) {
        raise(static_cast<protection_event>(*event), now);
    }
}

std::optional<run_copy> run_protection::copy() const
{
    if (machine_.state_name() == "mirrored") {
        return mirror_;
    }
    return held_copy();
}

std::optional<run_copy> run_protection::held_copy() const
{
    return held_copy_.has_value() ? std::optional{held_copy_->get()} : std::nullopt;
}

void run_protection::raise(protection_event event, core::instant now)
{
    now_ = now;
    std::optional<protection_event> next = event;
    while (next.has_value()) {
        follow_up_.reset();
        machine_.raise(static_cast<chart::symbol>(*next), *this);
        next = follow_up_;
    }
}

void run_protection::perform(chart::symbol action)
{
    switch (static_cast<protection_action>(action)) {
    case protection_action::seek_standby:
        follow_up_ = host_.seek_standby() ? protection_event::standby_found
                                          : protection_event::standby_missing;
        break;
    case protection_action::copy_run:
        host_.copy_run();
        break;
    case protection_action::keep_copy:
        held_copy_.emplace(new_copy_->get());
        break;
    case protection_action::drop_copy:
        held_copy_.reset();
        break;
    }
}

void run_protection::start_timer(chart::state_timeout timeout)
{
    core::duration length{};
    switch (static_cast<protection_timeout>(timeout.timeout)) {
    case protection_timeout::seek_pause:
        length = settings_.seek_pause;
        break;
    case protection_timeout::copy_limit:
        length = settings_.copy_limit;
        break;
    case protection_timeout::renewal_pause:
        length = core::fraction_of(copy_retention_, settings_.renewal_fraction);
        break;
    }
    timers_.start(timeout, now_ + length);
}

void run_protection::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::relay
