#include "generation/checkpoint_writer.hpp"

#include <algorithm>

namespace cyclamen::generation {

checkpoint_writer::checkpoint_writer(checkpoint_plan plan, const journal& tokens,
                                     std::uint64_t released, const checkpoint_settings& settings,
                                     std::shared_ptr<const chart::chart> definition,
                                     checkpoint_writer_host& host)
    : plan_{std::move(plan)}, tokens_{tokens}, settings_{settings}, host_{host},
      machine_{std::move(definition)}, released_{released}
{
}

void checkpoint_writer::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
    if (!holder_.has_value()) {
        raise(checkpoint_event::holder_overdue);
    }
}

std::optional<api::checkpoint_run> checkpoint_writer::take_run(core::instant now)
{
    if (machine_.state_name() != "open" || now < last_run_ + flush_period()) {
        return std::nullopt;
    }
    if (finish_sent_ && !has_unsent()) {
        return std::nullopt;
    }
    last_run_ = now;
    if (!unacknowledged_since_.has_value()) {
        unacknowledged_since_ = now;
    }
    const std::uint64_t first = sent_;
    sent_ = tokens_.size();
    finish_sent_ = finished_;
    return api::checkpoint_run{plan_.key, plan_.epoch, first, tokens_.from(first), finished_};
}

void checkpoint_writer::on_held(const api::checkpoint_party& from, const api::checkpoint_held& held,
                                core::instant now)
{
    if (holder_ != from || held.epoch != plan_.epoch) {
        return;
    }
    now_ = now;
    held_ = std::max(held_, std::min(held.tokens, tokens_.size()));
    if (held_ >= sent_) {
        unacknowledged_since_.reset();
    }
    else if (held.tokens < sent_ && unacknowledged_since_.has_value()) {
        // A run was lost or arrived out of order: resend everything after the acknowledged tokens
        // with the next run.
        sent_ = held_;
    }
    raise(checkpoint_event::held);
}

void checkpoint_writer::on_superseded(const api::checkpoint_superseded& message)
{
    if (message.epoch == plan_.epoch) {
        raise(checkpoint_event::superseded);
    }
}

void checkpoint_writer::on_unknown(const api::checkpoint_party& from,
                                   const api::checkpoint_unknown& message, core::instant now)
{
    if (holder_ == from && message.epoch == plan_.epoch) {
        now_ = now;
        raise(checkpoint_event::holder_forgot);
    }
}

void checkpoint_writer::on_peers_changed(core::instant now)
{
    now_ = now;
    tried_holders_.clear();
    const auto& peers = host_.directory().peers();
    const bool holder_is_live =
        std::any_of(peers.begin(), peers.end(),
                    [&](const checkpoint_peer& each) { return holder_ == each.party; });
    if (holder_is_live) {
        tried_holders_.insert(*holder_);
    }
    raise(holder_is_live || !holder_.has_value() ? checkpoint_event::peers_changed
                                                 : checkpoint_event::holder_overdue);
}

void checkpoint_writer::on_timer(core::instant now)
{
    now_ = now;
    if (unacknowledged_since_.has_value() &&
        now >= *unacknowledged_since_ + settings_.ack_timeout) {
        raise(checkpoint_event::holder_overdue);
    }
}

std::optional<core::instant> checkpoint_writer::next_deadline() const
{
    std::optional<core::instant> next;
    if (machine_.state_name() == "open" && (has_unsent() || !finish_sent_)) {
        next = last_run_ + flush_period();
    }
    if (unacknowledged_since_.has_value() && !machine_.is_final()) {
        const core::instant overdue = *unacknowledged_since_ + settings_.ack_timeout;
        next = std::min(next.value_or(overdue), overdue);
    }
    return next;
}

std::optional<std::uint64_t> checkpoint_writer::released() const
{
    if (all_released_ || machine_.state_name() == "unprotected") {
        return std::nullopt;
    }
    return released_;
}

void checkpoint_writer::raise(checkpoint_event event)
{
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

bool checkpoint_writer::holds(chart::symbol /*guard*/) const
{
    return next_holder().has_value();
}

void checkpoint_writer::perform(chart::symbol action)
{
    switch (static_cast<checkpoint_action>(action)) {
    case checkpoint_action::open_at_holder:
        open_at_holder();
        break;
    case checkpoint_action::release_held:
        released_ = std::max(released_, held_);
        host_.on_released(plan_.id);
        break;
    case checkpoint_action::release_all:
        holder_.reset();
        unacknowledged_since_.reset();
        host_.on_unprotected(plan_.id);
        break;
    case checkpoint_action::give_up:
        unacknowledged_since_.reset();
        host_.on_superseded(plan_.id);
        break;
    }
}

std::optional<api::checkpoint_party> checkpoint_writer::next_holder() const
{
    if (tried_holders_.size() >= settings_.max_holders) {
        return std::nullopt;
    }
    for (const api::checkpoint_party& each : host_.directory().holders_of(plan_.key)) {
        if (!tried_holders_.contains(each)) {
            return each;
        }
    }
    return std::nullopt;
}

bool checkpoint_writer::has_unsent() const
{
    return sent_ < tokens_.size() || finish_sent_ != finished_;
}

core::duration checkpoint_writer::flush_period() const
{
    if (!has_unsent()) {
        return settings_.heartbeat_period;
    }
    return streaming_ || finished_ ? settings_.stream_flush_period : settings_.whole_flush_period;
}

void checkpoint_writer::open_at_holder()
{
    auto chosen = next_holder();
    holder_.reset();
    unacknowledged_since_.reset();
    if (!chosen.has_value()) {
        return;
    }
    holder_.emplace(*chosen);
    tried_holders_.insert(*chosen);
    held_ = 0;
    sent_ = tokens_.size();
    finish_sent_ = finished_;
    last_run_ = now_;
    unacknowledged_since_ = now_;
    host_.send(*chosen, api::checkpoint_open{plan_.key, plan_.epoch,
                                             api::checkpoint{plan_.version, plan_.request_hash,
                                                             plan_.origin.parts(), tokens_.from(0),
                                                             finished_}});
}

} // namespace cyclamen::generation
