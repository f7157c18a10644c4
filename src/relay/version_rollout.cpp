#include "relay/version_rollout.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"
#include "core/log.hpp"

namespace cyclamen::relay {

namespace {

version_counts add(const version_counts& left, const version_counts& right)
{
    return version_counts{left.old_good + right.old_good, left.old_bad + right.old_bad,
                          left.new_good + right.new_good, left.new_bad + right.new_bad};
}

} // namespace

const chart::vocabulary& rollout_vocabulary()
{
    static const chart::vocabulary words{
        {"reviewed", "write_due", "rolled_back", "completed", "order_renewed"},
        {"is_bad", "is_overdue", "may_move", "may_complete"},
        {"note_verdict", "write_rolled_back", "write_completed", "note_outcome"},
        {"write_delay", "write_pause"}};
    return words;
}

version_rollout::version_rollout(rollout_order order, core::instance_name self,
                                 const rollout_settings& settings,
                                 std::shared_ptr<const chart::chart> definition, rollout_host& host,
                                 core::instant now)
    : order_{std::move(order)}, self_{std::move(self)}, settings_{settings},
      machine_{std::move(definition)}, host_{host}, ordered_at_{now}, now_{now}, review_at_{now}
{
    machine_.start(*this);
    core::log_event(core::log_level::info, "rollout_ordered",
                    {{"service", order_.get().service.str()},
                     {"version", order_.get().version.str()},
                     {"order", core::to_string(order_.get().store_version)},
                     {"time_limit_ms", core::to_milliseconds(order_.get().time_limit)}});
}

void version_rollout::on_outcome(const rollout_outcome& outcome, core::instant now)
{
    if (outcome.version == order_.get().version &&
        outcome.store_version > order_.get().store_version &&
        outcome.state != rollout_state::running) {
        now_ = now;
        raise(outcome.state == rollout_state::completed ? rollout_event::completed
                                                        : rollout_event::rolled_back);
    }
}

void version_rollout::renew(const rollout_order& order, core::instant now)
{
    now_ = now;
    order_.set(order);
    own_unlisted_ = true;
    raise(rollout_event::order_renewed);
}

void version_rollout::on_evidence(const rollout_evidence& evidence, core::instant now)
{
    if (evidence.order != order_.get().store_version) {
        return;
    }
    if (evidence.instance == self_) {
        own_unlisted_ = evidence.counts != own_.get();
    }
    else {
        others_.erase(evidence.instance);
        others_.emplace(evidence.instance, evidence.counts);
        now_ = now;
        review();
    }
}

std::optional<version_rule> version_rollout::admit(bool is_first, core::instant now)
{
    now_ = now;
    if (machine_.state_name() == "completed") {
        return std::nullopt;
    }
    if (machine_.state_name() == "moving" || machine_.state_name() == "accepted" ||
        machine_.state_name() == "accepting") {
        return version_rule{order_.get().version, true};
    }
    if (is_first && machine_.state_name() == "exposing") {
        ++requests_;
        exposed_last_ = !exposed_last_ && may_expose();
        if (exposed_last_) {
            ++exposed_;
            return version_rule{order_.get().version, true};
        }
    }
    return version_rule{order_.get().version, false};
}

bool version_rollout::may_expose() const
{
    if (!host_.has_target(order_.get())) {
        return false;
    }
    const auto [position, instances] = host_.position();
    // A share of less than one request falls to some of the instances.
    constexpr std::uint64_t steps = 1000;
    const double offset =
        static_cast<double>(core::hash_of(self_.str(), order_.get().store_version.number()) %
                            steps) /
        steps;
    const double share = settings_.used_ratio * settings_.exposure_ratio * requests_ +
                         settings_.used_slack * settings_.exposure_slack /
                             static_cast<double>(std::max<std::size_t>(instances, 1));
    return exposed_ + 1 <= share + offset;
}

void version_rollout::count(const core::version_name& version, bool good, core::instant now)
{
    const bool is_new = version == order_.get().version;
    own_.set(add(own_.get(), version_counts{!is_new && good, !is_new && !good, is_new && good,
                                            is_new && !good}));
    own_unlisted_ = own_unlisted_ || is_new;
    now_ = now;
}

void version_rollout::on_timer(core::instant now)
{
    now_ = now;
    for (auto event = timers_.take_expired(now); event.has_value();
         event = timers_.take_expired(now)) {
        machine_.raise(*event, *this);
    }
    if (review_at_.has_value() && *review_at_ <= now) {
        if (own_unlisted_) {
            host_.write_evidence(rollout_evidence{order_.get().service, order_.get().version, self_,
                                                  order_.get().store_version, own_.get()});
        }
        review_at_ = now + settings_.review_interval;
        review();
    }
}

std::optional<core::instant> version_rollout::next_deadline() const
{
    std::optional<core::instant> next = timers_.next_deadline();
    if (review_at_.has_value()) {
        next = std::min(next.value_or(*review_at_), *review_at_);
    }
    return next;
}

void version_rollout::raise(rollout_event event)
{
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

void version_rollout::review()
{
    raise(rollout_event::reviewed);
}

version_counts version_rollout::total() const
{
    core::cell<version_counts> sum{own_.get()};
    for (const auto& [instance, counts] : others_) {
        sum.set(add(sum.get(), counts));
    }
    return sum.get();
}

double version_rollout::evidence() const
{
    const version_counts counts = total();
    const double old_requests = counts.old_good + counts.old_bad;
    // Faults that strike both versions, such as the loss of a failure domain, blame neither.
    const double old_share = old_requests > 0 ? counts.old_bad / old_requests : 0;
    const double good_share = std::clamp(1.5 * old_share, settings_.good_bad_share, 0.5);
    const double bad_share = std::clamp(3 * good_share, settings_.bad_bad_share, 0.9);
    return counts.new_bad * std::log(bad_share / good_share) +
           counts.new_good * std::log((1 - bad_share) / (1 - good_share));
}

core::duration version_rollout::time_left() const
{
    return ordered_at_ + order_.get().time_limit - now_;
}

bool version_rollout::holds(chart::symbol guard) const
{
    switch (static_cast<rollout_guard>(guard)) {
    case rollout_guard::is_bad:
        return evidence() >= settings_.bad_evidence;
    case rollout_guard::is_overdue:
        return time_left() <= settings_.write_time;
    case rollout_guard::may_move:
        return time_left() <= settings_.move_time && evidence() <= settings_.good_evidence;
    case rollout_guard::may_complete:
        break;
    }
    return time_left() <= settings_.write_time;
}

void version_rollout::perform(chart::symbol action)
{
    const version_counts counts = total();
    switch (static_cast<rollout_action>(action)) {
    case rollout_action::note_verdict:
        core::log_event(core::log_level::info, "rollout_judged",
                        {{"service", order_.get().service.str()},
                         {"version", order_.get().version.str()},
                         {"state", machine_.state_name()},
                         {"evidence", evidence()},
                         {"new_good", counts.new_good},
                         {"new_bad", counts.new_bad},
                         {"old_good", counts.old_good},
                         {"old_bad", counts.old_bad},
                         {"time_left_ms", core::to_milliseconds(time_left())}});
        break;
    case rollout_action::write_rolled_back:
        host_.write_outcome(order_.get(), false);
        break;
    case rollout_action::write_completed:
        host_.write_outcome(order_.get(), true);
        break;
    case rollout_action::note_outcome:
        review_at_.reset();
        core::log_event(core::log_level::info, "rollout_ended",
                        {{"service", order_.get().service.str()},
                         {"version", order_.get().version.str()},
                         {"state", machine_.state_name()},
                         {"exposed", exposed_},
                         {"requests", requests_}});
        break;
    }
}

void version_rollout::start_timer(chart::state_timeout timeout)
{
    const bool is_delay =
        static_cast<rollout_timeout>(timeout.timeout) == rollout_timeout::write_delay;
    const core::duration delay =
        std::min(host_.position().first, settings_.max_write_steps) * settings_.write_step;
    timers_.start(timeout, now_ + (is_delay ? delay : settings_.write_pause));
}

void version_rollout::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::relay
