#include "call/call.hpp"

#include <cassert>

#include "core/error.hpp"

namespace cyclamen::call {

namespace {

/// Delay after which a caller may retry a refused call.
constexpr core::duration retry_after_refusal = std::chrono::seconds{1};

} // namespace

call::call(call_context context, const call_settings& settings,
           std::shared_ptr<const chart::chart> definition, call_host& host)
    : context_{std::move(context)}, settings_{settings}, host_{host}, machine_{
                                                                          std::move(definition)}
{
}

void call::start()
{
    machine_.start(*this);
    raise(call_event::begun);
}

void call::raise(call_event event)
{
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

bool call::is_current(const api::call_attempt& attempt) const
{
    return attempt.number == attempt_ && attempt_target_.has_value();
}

void call::on_claim_written()
{
    if (machine_.is_in("claiming")) {
        expected_ = expected_.next();
    }
    raise(call_event::claim_written);
}

void call::on_claim_failed(bool may_be_applied)
{
    raise(may_be_applied ? call_event::claim_in_doubt : call_event::claim_not_written);
}

void call::on_claim_current(const std::optional<stored_claim>& claim)
{
    if (!claim.has_value()) {
        raise(call_event::row_absent);
        return;
    }
    found_claim_.emplace(*claim);
    if (machine_.is_in("claiming")) {
        expected_ = claim->version;
    }
    raise(call_event::row_found);
    found_claim_.reset();
}

void call::on_sent(const api::call_sent& sent)
{
    if (is_current(sent.attempt)) {
        raise(call_event::attempt_sent);
    }
}

void call::on_answered(const api::call_answered& answered)
{
    if (!is_current(answered.attempt)) {
        return;
    }
    close_attempt(false);
    response_ = &answered.response;
    raise(call_event::answer_received);
    response_ = nullptr;
}

void call::on_lost(const api::call_lost& lost)
{
    if (!is_current(lost.attempt)) {
        return;
    }
    close_attempt(true);
    if (lost.sent) {
        was_sent_ = true;
        raise(call_event::attempt_lost);
        return;
    }
    may_have_been_sent_ = was_sent_;
    host_.on_attempt_not_sent(context_);
    raise(machine_.is_in("unknown") ? call_event::attempt_lost : call_event::attempt_not_sent);
}

void call::on_timer(call_event event)
{
    raise(event);
}

void call::on_caller_gone()
{
    has_caller_ = false;
    raise(call_event::caller_gone);
}

void call::proceed(const std::optional<model::target>& target)
{
    chosen_target_ = target.has_value() ? &*target : nullptr;
    raise(call_event::proceed);
    chosen_target_ = nullptr;
}

void call::close_attempt(bool lost)
{
    host_.on_attempt_ended(*attempt_target_, lost);
    if (lost) {
        failed_targets_.insert(*attempt_target_);
    }
    attempt_target_.reset();
}

bool call::is_found_in_state(claim_state state) const
{
    return found_claim_.has_value() && found_claim_->record.state == state;
}

bool call::holds(chart::symbol guard) const
{
    switch (static_cast<call_guard>(guard)) {
    case call_guard::keyed:
        return is_keyed();
    case call_guard::may_have_run:
        return may_have_been_sent_ || context_.request.is_repeat ||
               host_.may_have_run_here(context_);
    case call_guard::own_claim:
        return is_found_in_state(claim_state::claimed) &&
               found_claim_->record.nonce == context_.nonce;
    case call_guard::other_body:
        return found_claim_.has_value() && !is_found_in_state(claim_state::released) &&
               found_claim_->record.body_hash != context_.body_hash;
    case call_guard::row_answered:
        return is_found_in_state(claim_state::answered);
    case call_guard::row_released:
        return is_found_in_state(claim_state::released);
    case call_guard::row_unknown:
        return is_found_in_state(claim_state::unknown);
    case call_guard::has_target:
        return chosen_target_ != nullptr;
    case call_guard::attempts_left:
        return attempt_.value() < settings_.most_attempts;
    case call_guard::may_repeat:
        return context_.is_safe && attempt_.value() < settings_.most_attempts &&
               host_.take_retry(context_);
    case call_guard::claim_may_be_lost:
        return is_keyed() && context_.request.is_repeat && host_.has_store_lost_claims();
    }
    return false;
}

void call::perform(chart::symbol action)
{
    switch (static_cast<call_action>(action)) {
    case call_action::write_claim:
        return write_claim();
    case call_action::read_claim:
        return host_.read_claim(context_);
    case call_action::release_claim:
        return save_final_state(claim_state::released);
    case call_action::offer:
        return offer();
    case call_action::cancel_attempt:
        if (attempt_target_.has_value()) {
            host_.send(api::cancel_call{{context_.id, attempt_}});
            close_attempt(true);
        }
        return;
    case call_action::record_answer:
        return record_answer();
    case call_action::record_unknown:
        return save_final_state(claim_state::unknown);
    case call_action::deliver_answer:
        if (has_caller_) {
            host_.answer(context_.request.caller, *response_);
        }
        return;
    case call_action::answer_from_row:
        return answer_from_row();
    case call_action::say_unknown:
        return fail_with_unknown_outcome();
    case call_action::refuse_store:
        return refuse(core::error_kind::unavailable,
                      "the call could not be claimed: the table service is unavailable or too slow",
                      "retry with the same idempotency key", retry_after_refusal);
    case call_action::refuse_no_target:
        return refuse(core::error_kind::unavailable, "no target of the service accepted the call",
                      "retry later with the same idempotency key", retry_after_refusal);
    case call_action::refuse_other_body:
        return refuse(core::error_kind::unprocessable,
                      "the idempotency key was already used for a different request",
                      "send this request with a new idempotency key", core::duration::zero());
    }
}

core::duration call::limit_of(call_timeout timeout) const
{
    switch (timeout) {
    case call_timeout::claim_limit:
        return settings_.claim_limit;
    case call_timeout::recheck_period:
        return settings_.recheck_period;
    case call_timeout::watch_period:
        return settings_.watch_period;
    case call_timeout::answer_limit:
        return settings_.answer_limit;
    case call_timeout::late_limit:
        break;
    }
    return settings_.late_limit;
}

void call::start_timer(chart::state_timeout timeout)
{
    host_.start_timer(context_.id, static_cast<call_event>(timeout.event),
                      limit_of(static_cast<call_timeout>(timeout.timeout)));
}

void call::stop_timer(chart::state_timeout timeout)
{
    host_.stop_timer(context_.id, static_cast<call_event>(timeout.event));
}

claim_record call::make_record(claim_state state) const
{
    const bool is_stored = state == claim_state::answered && response_ != nullptr &&
                           response_->body.size() <= settings_.max_stored_body_bytes;
    return claim_record{state, context_.nonce, context_.body_hash,
                        is_stored ? std::optional{*response_} : std::nullopt};
}

void call::write_claim()
{
    host_.write_claim(context_, expected_);
}

void call::save_final_state(claim_state state)
{
    if (is_keyed()) {
        host_.save_final_state(context_, make_record(state), expected_);
    }
}

void call::offer()
{
    attempt_ = attempt_.next();
    attempt_target_.emplace(chosen_target_->name);
    may_have_been_sent_ = true;
    host_.on_attempt_opened(context_, chosen_target_->name);
    const api::call_request& request = context_.request;
    host_.send(api::open_call{{context_.id, attempt_},
                              chosen_target_->address,
                              request.method,
                              request.path,
                              request.headers,
                              request.body});
}

void call::record_answer()
{
    assert(response_ != nullptr);
    host_.on_answer_received(context_, *response_);
    save_final_state(claim_state::answered);
}

void call::answer_from_row()
{
    if (!has_caller_) {
        return;
    }
    const auto& response = found_claim_->record.response;
    if (response.has_value()) {
        host_.answer(context_.request.caller, *response);
        return;
    }
    host_.fail(context_,
               core::to_failure(
                   core::make_error(core::error_kind::outcome_unknown,
                                    "the call has run, but its response was too large to store",
                                    "query the service for the outcome"),
                   false));
}

void call::fail_with_unknown_outcome()
{
    if (has_caller_) {
        host_.fail(context_,
                   core::to_failure(core::make_error(core::error_kind::outcome_unknown,
                                                     "the call may have run and is not retried",
                                                     "retry with the same idempotency key to get "
                                                     "its answer, or query the service"),
                                    false));
    }
}

void call::refuse(core::error_kind kind, std::string_view problem, std::string_view remedy,
                  core::duration retry_after)
{
    if (has_caller_) {
        host_.fail(context_,
                   core::to_failure(core::make_error(kind, problem, remedy), true, retry_after));
    }
}

} // namespace cyclamen::call
