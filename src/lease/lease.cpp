#include "lease/lease.hpp"

#include <algorithm>

namespace cyclamen::lease {

namespace {

/// Divides the lease length: targets that do not check fencing numbers receive orders only in the
/// first half of the lease, as nothing else protects them from an order that arrives late.
constexpr int unfenced_divisor = 2;

/// Bits of a fencing number below the era of the table, so that the numbers of an era are above all
/// of the eras before, of which a restored table may have lost the highest.
constexpr int era_shift = 32;

} // namespace

lease::lease(lease_settings settings, lease_row self, api::row_key key,
             std::shared_ptr<const chart::chart> definition, lease_host& host)
    : settings_{settings}, self_{std::move(self)}, key_{std::move(key)}, host_{host},
      machine_{std::move(definition)}
{
}

void lease::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
}

void lease::stop(core::instant now)
{
    now_ = now;
    raise(lease_event::stopped);
}

void lease::raise(lease_event event)
{
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

void lease::on_table_event(const api::table_event& event, core::instant now)
{
    now_ = now;
    if (const auto* rows = std::get_if<api::table_rows>(&event)) {
        on_rows(*rows);
        return;
    }
    const api::table_request request =
        std::visit([](const auto& answer) { return answer.request; }, event);
    if (request != pending_write_) {
        return;
    }
    pending_write_.reset();
    if (const auto* committed = std::get_if<api::table_committed>(&event)) {
        // A claim on an absent row may be committed after a restore that has lost another one.
        raise(committed->era == row_version_.era() ? lease_event::written
                                                   : lease_event::conflicted);
    }
    else if (std::holds_alternative<api::table_conflict>(event)) {
        raise(lease_event::conflicted);
    }
    else {
        raise(lease_event::write_in_doubt);
    }
}

void lease::on_rows(const api::table_rows& answer)
{
    if (answer.request != pending_read_) {
        return;
    }
    pending_read_.reset();
    const auto found = std::find_if(answer.rows.begin(), answer.rows.end(),
                                    [&](const api::row& row) { return row.key == key_; });
    if (found == answer.rows.end()) {
        record_row(api::row_version{0, answer.era}, {});
    }
    else {
        record_row(found->version, found->value);
    }
    raise(lease_event::row_seen);
}

void lease::record_row(api::row_version version, const std::string& value)
{
    if (has_read_row_ && row_version_ == version) {
        return;
    }
    has_read_row_ = true;
    row_version_ = version;
    row_unchanged_since_ = now_;
    const auto parsed = parse_lease_row(value);
    if (parsed.has_value()) {
        row_.emplace(*parsed);
    }
    else {
        row_.reset();
    }
}

void lease::on_timer(core::instant now)
{
    now_ = now;
    // The end of the lease is handled first: if the process was paused beyond it, no other timer
    // may act on a lease that is no longer held.
    const auto expiry = timers_.find(lease_event::lapsed);
    if (expiry != timers_.end() && expiry->second <= now) {
        timers_.erase(expiry);
        raise(lease_event::lapsed);
    }
    const auto expired = std::find_if(timers_.begin(), timers_.end(),
                                      [&](const auto& timer) { return timer.second <= now; });
    if (expired != timers_.end()) {
        const lease_event event = expired->first;
        timers_.erase(expired);
        raise(event);
    }
}

std::optional<core::instant> lease::next_deadline() const
{
    std::optional<core::instant> next;
    for (const auto& [event, deadline] : timers_) {
        next = std::min(next.value_or(deadline), deadline);
    }
    return next;
}

std::optional<core::instant> lease::order_deadline(bool checks_fencing, core::instant now) const
{
    const core::duration usable =
        checks_fencing ? settings_.length : settings_.length / unfenced_divisor;
    const core::instant end = lease_start_ + usable;
    if (!orders_allowed_ || now >= end) {
        return std::nullopt;
    }
    return end;
}

void lease::write(fencing_number fence)
{
    claimed_fence_ = fence;
    write_sent_at_ = now_;
    pending_write_ = host_.next_request();
    const lease_row contents{self_.holder, self_.incarnation, fence};
    host_.send(api::table_commit{*pending_write_, {{key_, to_string(contents), row_version_}}});
}

bool lease::is_own_row() const
{
    return row_.has_value() && row_->holder == self_.holder &&
           row_->incarnation == self_.incarnation && row_->fence == fence_;
}

bool lease::has_lapsed() const
{
    // In a restored table an absent row may be one that was lost.
    return row_version_ == api::row_version{} || now_ - row_unchanged_since_ >= settings_.length;
}

bool lease::holds(chart::symbol guard) const
{
    switch (static_cast<lease_guard>(guard)) {
    case lease_guard::row_lapsed:
        return has_lapsed();
    case lease_guard::row_is_mine:
        return is_own_row();
    case lease_guard::in_time:
        break;
    }
    return now_ < write_sent_at_ + settings_.length;
}

void lease::perform(chart::symbol action)
{
    switch (static_cast<lease_action>(action)) {
    case lease_action::read_row:
        pending_read_ = host_.next_request();
        host_.send(api::table_read{*pending_read_, {key_}});
        break;
    case lease_action::note_row:
        break;
    case lease_action::write_claim:
        // A claim with an unknown outcome may be stored in the table, so its fencing number is
        // never used again.
        write(std::max({row_.has_value() ? row_->fence : fencing_number{}, claimed_fence_,
                        fencing_number{row_version_.era().value() << era_shift}})
                  .next());
        break;
    case lease_action::write_renewal:
        write(fence_);
        break;
    case lease_action::extend:
        fence_ = claimed_fence_;
        lease_start_ = write_sent_at_;
        record_row(row_version_.next(),
                   to_string(lease_row{self_.holder, self_.incarnation, fence_}));
        break;
    case lease_action::start_orders:
        orders_allowed_ = true;
        break;
    case lease_action::stop_orders:
        orders_allowed_ = false;
        break;
    }
}

void lease::start_timer(chart::state_timeout timeout)
{
    const auto deadline = [&] {
        switch (static_cast<lease_timeout>(timeout.timeout)) {
        case lease_timeout::poll_interval:
            return now_ + settings_.poll_interval;
        case lease_timeout::answer_limit:
            return now_ + settings_.answer_limit;
        case lease_timeout::renew_interval:
            return now_ + settings_.renew_interval;
        case lease_timeout::lease_left:
            break;
        }
        return lease_start_ + settings_.length;
    };
    timers_.insert_or_assign(static_cast<lease_event>(timeout.event), deadline());
}

void lease::stop_timer(chart::state_timeout timeout)
{
    timers_.erase(static_cast<lease_event>(timeout.event));
}

} // namespace cyclamen::lease
