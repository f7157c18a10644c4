#include "relay/relayed_request.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::relay {

namespace {

/// Lowest HTTP status that reports a failure of the target.
constexpr int first_failure_status = 500;

/// HTTP status by which a full target rejects a request.
constexpr int full_status = 503;

/// Disables a timer: the answer limit always expires first.
constexpr core::duration no_limit = std::chrono::hours{1};

} // namespace

relayed_request::relayed_request(request_plan plan, const request_settings& settings,
                                 std::shared_ptr<const chart::chart> definition,
                                 std::shared_ptr<const chart::chart> protection, request_host& host)
    : plan_{std::move(plan)}, settings_{settings}, machine_{std::move(definition)},
      protection_chart_{std::move(protection)}, host_{host}, now_{plan_.accepted},
      last_event_{plan_.submitted.last_event}
{
}

void relayed_request::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
    if (follow_up_.has_value()) {
        raise(*follow_up_, now);
    }
}

void relayed_request::on_caller_gone(core::instant now)
{
    raise(request_event::caller_left, now);
}

void relayed_request::on_shutdown(core::instant now)
{
    raise(request_event::time_up, now);
}

void relayed_request::on(const stream_begun& report, core::instant now)
{
    if (!answer_begun_) {
        head_.emplace(report.head);
    }
    begun_at_ = begun_at_.value_or(now);
    raise(request_event::stream_begun, now);
}

void relayed_request::on(const stream_events& report, core::instant now)
{
    pending_events_ = report.bytes;
    last_event_ = report.last_event;
    now_ = now;
    note_progress();
    note_stream_pace(report.count);
    raise(request_event::events_arrived, now);
}

void relayed_request::on(const stream_finished& /*report*/, core::instant now)
{
    note_survived();
    raise(request_event::stream_finished, now);
}

void relayed_request::on(const attempt_answered& answer, core::instant now)
{
    may_have_run_ = true;
    note_survived();
    received_answer_.emplace(answer);
    raise(request_event::answer_arrived, now);
}

void relayed_request::on(const attempt_rejected& rejection, core::instant now)
{
    loss_detail_ = core::concat("rejected with status ", rejection.status);
    if (rejection.misdirected) {
        host_.on_misdirected(placed_->get().target);
    }
    else if (!placed_->get().from_copy) {
        ++rejections_;
    }
    if (rejection.status == full_status && !rejection.misdirected) {
        host_.on_rejected(plan_, placed_->get().target.name);
    }
    --runs_;
    raise(request_event::attempt_rejected, now);
}

void relayed_request::on(const attempt_lost& loss, core::instant now)
{
    attempt_sent_ = loss.sent;
    if (loss.sent) {
        may_have_run_ = true;
    }
    else {
        --runs_;
    }
    loss_detail_ = loss.detail;
    now_ = now;
    if (const auto stage = suspicious_stage(); stage.has_value()) {
        host_.on_suspicious_loss(plan_, attempt_, placed_->get().target, *stage);
    }
    raise(request_event::attempt_lost, now);
}

request_event relayed_request::missing_target_event()
{
    return host_.time_to_return(plan_.service).has_value() ? request_event::targets_held
                                                           : request_event::target_missing;
}

void relayed_request::on(const run_copied& result, core::instant now)
{
    const auto& standby = placed_->get().standby;
    if (protection_ != nullptr && standby.has_value() && standby->name == result.standby) {
        core::log_event(core::log_level::info, "run_copied",
                        {{"request", plan_.submitted.content->id},
                         {"attempt", attempt_.value()},
                         {"target", placed_->get().target.name.str()},
                         {"standby", result.standby.str()},
                         {"made", result.copy.has_value()}});
        protection_->on_copied(result.copy, now);
    }
}

void relayed_request::on_target_ending(const core::target_name& target, core::instant now)
{
    now_ = now;
    if (protection_ != nullptr && placed_.has_value() && placed_->get().standby.has_value() &&
        placed_->get().standby->name == target) {
        protection_->on_standby_lost(now);
    }
}

std::optional<core::instant> relayed_request::next_deadline() const
{
    std::optional<core::instant> deadline = timers_.next_deadline();
    const auto copy_deadline =
        protection_ == nullptr ? std::optional<core::instant>{} : protection_->next_deadline();
    if (copy_deadline.has_value()) {
        deadline = std::min(deadline.value_or(*copy_deadline), *copy_deadline);
    }
    return deadline;
}

void relayed_request::on_timer(core::instant now, core::instant heard_until)
{
    if (protection_ != nullptr) {
        now_ = now;
        protection_->on_timer(now);
    }
    for (auto event = timers_.take_expired(heard_until); event.has_value();
         event = timers_.take_expired(heard_until)) {
        raise(static_cast<request_event>(*event), now);
    }
}

void relayed_request::raise(request_event event, core::instant now)
{
    now_ = now;
    // The target of an abandoned attempt may still run the request.
    may_have_run_ = may_have_run_ || (event == request_event::time_up && placed_.has_value());
    std::optional<request_event> next = event;
    while (next.has_value()) {
        follow_up_.reset();
        machine_.raise(static_cast<chart::symbol>(*next), *this);
        next = follow_up_;
    }
}

bool relayed_request::is_idempotent() const
{
    return plan_.matched_route.kind == request_kind::safe ||
           (plan_.matched_route.kind == request_kind::streaming && plan_.matched_route.resumable);
}

core::instant relayed_request::answer_deadline() const
{
    return plan_.accepted + std::min(plan_.submitted.timeout, plan_.matched_route.answer_limit);
}

core::duration relayed_request::timeout_duration(request_timeout timeout) const
{
    const core::duration pause_goal = plan_.matched_route.pause_goal > core::duration::zero()
                                          ? plan_.matched_route.pause_goal
                                          : plan_.matched_route.answer_goal;
    switch (timeout) {
    case request_timeout::answer_limit:
        return answer_deadline() - now_;
    case request_timeout::placement_pause:
        return settings_.placement_pause;
    case request_timeout::survey_limit:
        return settings_.survey_limit * (1 << unanswered_surveys_);
    case request_timeout::turn_pause:
        return turn_at_ - now_;
    case request_timeout::room_pause:
        return settings_.room_pause;
    case request_timeout::offer_pause:
        return settings_.offer_pause;
    case request_timeout::first_answer_limit:
        if (plan_.matched_route.kind == request_kind::unsafe) {
            return no_limit;
        }
        return core::fraction_of(plan_.matched_route.answer_goal,
                                 plan_.engine.has_value() ? settings_.first_answer_limit_fraction
                                                          : settings_.safe_retry_fraction);
    case request_timeout::pause_limit:
        return core::fraction_of(pause_goal, settings_.pause_limit_fraction);
    case request_timeout::report_limit:
        return host_.silences().patience(pause_goal);
    case request_timeout::question_limit:
        break;
    }
    return core::fraction_of(pause_goal, settings_.question_limit_fraction);
}

bool relayed_request::holds(chart::symbol guard) const
{
    switch (static_cast<request_guard>(guard)) {
    case request_guard::answer_begun:
        return answer_begun_;
    case request_guard::may_have_run:
        return may_have_run_;
    case request_guard::may_wait:
        return now_ - plan_.accepted < core::fraction_of(plan_.matched_route.answer_goal,
                                                         settings_.placement_wait_fraction);
    case request_guard::may_offer_again:
        return offers_ < settings_.max_offers && rejections_ < settings_.max_rejections &&
               host_.may_retry(plan_.service);
    case request_guard::may_go_on:
        if (!attempt_sent_) {
            return offers_ < settings_.max_offers;
        }
        return is_idempotent() && runs_ < plan_.matched_route.max_runs &&
               host_.may_retry(plan_.service) && !is_quarantined();
    case request_guard::may_move:
        return holds(static_cast<chart::symbol>(request_guard::may_go_on)) && has_other_target();
    case request_guard::may_retry:
        return host_.may_retry(plan_.service);
    case request_guard::replaces_failure:
        // A stream that has begun can only go on as a stream, whatever else a target answers.
        return (answer_begun_ || received_answer_->get().head.status >= first_failure_status) &&
               is_idempotent() && runs_ < plan_.matched_route.max_runs &&
               host_.may_retry(plan_.service);
    case request_guard::may_ask:
        return plan_.engine.has_value();
    case request_guard::has_turn:
        return host_.waiting_state_of(plan_) == limits::waiting_state::first;
    case request_guard::may_stay:
        return host_.waiting_state_of(plan_) != limits::waiting_state::ended;
    case request_guard::events_seen:
        return attempt_has_events_;
    case request_guard::candidates_left:
        break;
    }
    return !pending_candidates_.empty();
}

void relayed_request::perform(chart::symbol action)
{
    switch (static_cast<request_action>(action)) {
    case request_action::seek_target:
        seek_target();
        break;
    case request_action::ask_candidates:
        ask_candidates();
        break;
    case request_action::weigh_candidates:
        weigh_candidates();
        break;
    case request_action::note_survey:
        note_failed_survey();
        break;
    case request_action::open_attempt:
        start_attempt();
        break;
    case request_action::release_attempt:
        release_attempt();
        break;
    case request_action::close_attempt:
        if (placed_.has_value()) {
            host_.send(relay::close_attempt{attempt_id{plan_.number, attempt_}});
        }
        break;
    case request_action::ask_target:
        asked_at_ = now_;
        host_.send(relay::ask_target{plan_.number, placed_->get().target.name,
                                     placed_->get().target.address, plan_.submitted.content->id});
        break;
    case request_action::deliver_events:
        deliver_events();
        break;
    case request_action::deliver_answer:
        deliver_answer();
        break;
    case request_action::finish_answer:
        finish_answer();
        break;
    case request_action::cut_answer:
        record_abandonment();
        host_.send(answer_cut{plan_.submitted.caller});
        finish("cut");
        break;
    case request_action::fail_late:
        refuse(core::error_kind::deadline_exceeded, "no response within the time limit", false, {});
        break;
    case request_action::fail_lost:
        record_abandonment();
        refuse(core::error_kind::unavailable, "the target that ran the request was lost", false,
               {});
        break;
    case request_action::refuse_late:
        refuse(core::error_kind::overloaded, "no target accepted the request within the time limit",
               true, settings_.retry_after);
        break;
    case request_action::refuse_unplaced:
        refuse(core::error_kind::overloaded, "no target is available", true, settings_.retry_after);
        break;
    case request_action::refuse_held:
        refuse_held();
        break;
    case request_action::refuse_overloaded:
        refuse_overloaded();
        break;
    case request_action::refuse_waiting:
        refuse_waiting();
        break;
    case request_action::refuse_without_share:
        refuse_without_share();
        break;
    case request_action::refuse_quarantined:
        refuse_quarantined();
        break;
    case request_action::refuse_rejected:
        refuse(core::error_kind::overloaded, "the targets that were tried are full", true,
               settings_.retry_after);
        break;
    case request_action::note_rejection:
        record_attempt_end("attempt_rejected");
        copy_holder_.reset();
        break;
    case request_action::note_silence:
        loss_detail_ = "silent";
        may_have_run_ = true;
        report_outcome(true);
        record_attempt_end("attempt_silent");
        host_.on_loss(placed_->get().target.name);
        break;
    case request_action::note_mute:
        record_mute_target();
        host_.on_loss(placed_->get().target.name);
        break;
    case request_action::note_lost_channel:
        loss_detail_ = "silent channel";
        may_have_run_ = true;
        record_attempt_end("channel_lost");
        break;
    case request_action::note_loss:
        report_outcome(true);
        record_attempt_end("attempt_lost");
        host_.on_loss(placed_->get().target.name);
        break;
    case request_action::note_failure:
        report_outcome(true);
        loss_detail_ = core::concat("status ", received_answer_->get().head.status);
        record_attempt_end("attempt_failed");
        break;
    case request_action::note_caller_left:
        finish("caller_left");
        break;
    }
}

void relayed_request::begin_answer()
{
    if (!answer_begun_) {
        answer_begun_ = true;
        host_.on_answered(plan_, now_ - plan_.accepted);
        host_.send(answer_begun{plan_.submitted.caller, head_->get()});
    }
}

void relayed_request::deliver_events()
{
    if (!attempt_has_events_) {
        attempt_has_events_ = true;
        attempt_first_event_at_ = now_;
        report_outcome(false);
        host_.on_first_event(placed_->get().target.name, plan_.submitted.prompt_tokens);
        host_.on_success(placed_->get().target.name);
        note_started();
    }
    begin_answer();
    host_.send(answer_events{plan_.submitted.caller, std::move(pending_events_)});
}

void relayed_request::note_started()
{
    if (start_load_.has_value()) {
        first_event_at_ = now_;
        host_.on_started(plan_, start_load_->get(), now_ - attempt_opened_at_);
        note_reading_pace();
    }
}

void relayed_request::finish_answer()
{
    begin_answer();
    if (first_event_at_.has_value()) {
        host_.on_run_finished(plan_, now_ - *first_event_at_);
    }
    host_.send(answer_finished{plan_.submitted.caller});
    finish("finished");
}

void relayed_request::deliver_answer()
{
    const attempt_answered& answer = received_answer_->get();
    report_outcome(answer.head.status >= first_failure_status);
    host_.on_answered(plan_, now_ - plan_.accepted);
    host_.on_success(placed_->get().target.name);
    note_answer_pace(answer.head.status);
    host_.send(complete_answer{plan_.submitted.caller, answer.head, answer.body});
    finish("answered");
}

void relayed_request::start_timer(chart::state_timeout timeout)
{
    const auto which = static_cast<request_timeout>(timeout.timeout);
    timers_.start(timeout, now_ + timeout_duration(which));
}

void relayed_request::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::relay
