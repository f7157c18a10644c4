#include "generation/generation.hpp"

#include <algorithm>
#include <cassert>

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::generation {

namespace {

loss_cause to_cause(api::loss_kind kind)
{
    switch (kind) {
    case api::loss_kind::not_connected:
        return loss_cause::not_connected;
    case api::loss_kind::connection_lost:
        return loss_cause::connection_lost;
    case api::loss_kind::engine_busy:
        return loss_cause::engine_busy;
    case api::loss_kind::engine_error:
        break;
    }
    return loss_cause::engine_error;
}

std::uint64_t count_words(std::string_view text)
{
    return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), ' ')) + 1;
}

} // namespace

generation::generation(generation_plan plan, const generation_settings& settings,
                       std::shared_ptr<const chart::chart> definition, generation_host& host,
                       core::instant now)
    : plan_{std::move(plan)}, settings_{settings}, host_{host}, machine_{std::move(definition)},
      deadline_{now + plan_.timeout}
{
}

void generation::restore_tokens(const std::vector<std::string>& tokens)
{
    journal_.append(0, tokens);
}

void generation::finish_restore(bool finished)
{
    if (finished || journal_.size() >= plan_.max_tokens) {
        raise(generation_event::answer_restored);
    }
}

void generation::start()
{
    machine_.start(*this);
}

void generation::attach(const api::generation_request& request)
{
    host_.stop_timer(plan_.id, generation_event::callers_gone);
    callers_.push_back(waiting_caller{request, request.tokens_held});
    waiting_caller& added = callers_.back();
    if (machine_.state_name() == "done") {
        finish(added);
        callers_.pop_back();
    }
    else if (failure_.has_value()) {
        host_.send(api::answer_failed{added.request.caller, *failure_});
        callers_.pop_back();
    }
    else {
        deliver();
    }
}

void generation::detach(core::caller_id caller)
{
    const auto removed_count = std::erase_if(
        callers_, [&](const waiting_caller& waiting) { return waiting.request.caller == caller; });
    if (removed_count == 0 || !callers_.empty()) {
        return;
    }
    // A caller with a request key may reconnect.
    if (plan_.key.empty()) {
        raise(generation_event::callers_gone);
    }
    else if (!is_over()) {
        host_.start_timer(plan_.id, generation_event::callers_gone,
                          settings_.caller_reconnect_limit);
    }
}

void generation::on_target_chosen(const model::target& target)
{
    chosen_target_ = &target;
    raise(generation_event::target_chosen);
    chosen_target_ = nullptr;
}

void generation::on_tokens(const api::attempt_tokens& tokens)
{
    // Tokens of an earlier attempt that arrive late are dropped.
    if (!is_current(tokens.attempt)) {
        return;
    }
    // A gap means that the engine's stream is unreliable: cancel the attempt and resume at another
    // target.
    if (tokens.first > journal_.size()) {
        host_.send(api::cancel_attempt{tokens.attempt});
        on_lost(api::attempt_lost{tokens.attempt, api::loss_kind::engine_error,
                                  "gap in the token positions"});
        return;
    }
    incoming_tokens_ = &tokens;
    raise(generation_event::tokens_received);
    incoming_tokens_ = nullptr;
}

void generation::on_finished(const api::attempt_finished& finished)
{
    if (is_current(finished.attempt)) {
        raise(generation_event::attempt_finished);
    }
}

void generation::on_lost(const api::attempt_lost& lost)
{
    if (is_current(lost.attempt)) {
        last_loss_detail_ = lost.detail;
        last_loss_cause_ = to_cause(lost.kind);
        raise(generation_event::attempt_lost);
    }
}

void generation::on_alive(const api::attempt_alive& alive)
{
    if (is_current(alive.attempt)) {
        raise(generation_event::attempt_alive);
    }
}

void generation::on_released()
{
    raise(generation_event::tokens_released);
}

void generation::on_superseded()
{
    raise(generation_event::superseded);
}

void generation::on_quarantined()
{
    raise(generation_event::quarantined);
}

void generation::on_refused(const core::failure& reason)
{
    assert(attempt_.value() == 0);
    refusal_.emplace(reason);
    raise(generation_event::placement_overdue);
}

void generation::on_timer(generation_event event)
{
    if (event == generation_event::token_overdue) {
        last_loss_detail_ = "no token within the time limit";
        last_loss_cause_ = loss_cause::unresponsive;
    }
    raise(event);
}

void generation::raise(generation_event event)
{
    machine_.raise(static_cast<chart::symbol>(event), *this);
    finish_if_released();
}

void generation::finish_if_released()
{
    if (machine_.state_name() == "committing" && all_released()) {
        machine_.raise(static_cast<chart::symbol>(generation_event::tokens_released), *this);
    }
}

bool generation::all_released() const
{
    const bool has_streaming_caller =
        std::any_of(callers_.begin(), callers_.end(),
                    [](const waiting_caller& each) { return each.request.streaming; });
    return !has_streaming_caller ||
           host_.released_tokens(plan_.id, journal_.size()) >= journal_.size();
}

bool generation::is_current(const api::attempt_id& attempt) const
{
    return target_.has_value() && attempt.number == attempt_;
}

bool generation::holds(chart::symbol guard) const
{
    switch (static_cast<generation_guard>(guard)) {
    case generation_guard::complete:
        return journal_.size() >= plan_.max_tokens;
    case generation_guard::may_probe:
        return host_.timeouts().probes() && journal_.size() < plan_.max_tokens;
    case generation_guard::all_released:
        return all_released();
    case generation_guard::attempts_left:
        break;
    }
    return attempt_.value() < settings_.max_attempts;
}

void generation::perform(chart::symbol action)
{
    switch (static_cast<generation_action>(action)) {
    case generation_action::seek_target:
        host_.seek_target(plan_.id);
        break;
    case generation_action::open_attempt:
        open_attempt();
        break;
    case generation_action::cancel_attempt:
        if (target_.has_value()) {
            host_.send(api::cancel_attempt{{plan_.id, attempt_}});
        }
        break;
    case generation_action::note_cancel:
        if (target_.has_value()) {
            host_.on_attempt_cancelled(plan_.id, *target_);
            target_.reset();
        }
        break;
    case generation_action::probe_attempt:
        host_.send(api::probe_attempt{{plan_.id, attempt_}});
        break;
    case generation_action::append_tokens:
        append_tokens();
        break;
    case generation_action::deliver_tokens:
        deliver();
        break;
    case generation_action::release_all:
        host_.release_all(plan_.id);
        break;
    case generation_action::finish_callers:
        finish_callers();
        break;
    case generation_action::fail_attempts_spent:
        fail_callers(core::error_kind::unavailable,
                     core::concat("all ", attempt_.value(),
                                  " attempts were lost; last loss: ", last_loss_detail_),
                     "send the request again with the same key");
        break;
    case generation_action::fail_deadline:
        fail_callers(core::error_kind::deadline_exceeded,
                     "the answer was not complete by its deadline",
                     "allow more time or ask for fewer tokens");
        break;
    case generation_action::fail_no_target:
        if (refusal_.has_value()) {
            fail_callers(*refusal_);
            break;
        }
        fail_callers(core::error_kind::unavailable,
                     core::concat("no target of service ", plan_.service.str(), " version ",
                                  plan_.version.str(), " could accept the request"),
                     "send the request again later");
        break;
    case generation_action::fail_quarantined:
        fail_callers(core::error_kind::quarantined,
                     "the request is quarantined: the targets that ran it were lost",
                     "change the request, or ask the operator to investigate");
        break;
    case generation_action::hand_over_callers:
        hand_over_callers();
        break;
    case generation_action::note_loss:
        note_loss();
        break;
    case generation_action::note_finish:
        note_finish();
        break;
    }
}

void generation::start_timer(chart::state_timeout timeout)
{
    host_.start_timer(plan_.id, static_cast<generation_event>(timeout.event),
                      limit_of(static_cast<generation_timeout>(timeout.timeout)));
}

void generation::stop_timer(chart::state_timeout timeout)
{
    host_.stop_timer(plan_.id, static_cast<generation_event>(timeout.event));
}

core::duration generation::limit_of(generation_timeout timeout) const
{
    const attempt_workload work{plan_.service, plan_.version, prompt_words_};
    switch (timeout) {
    case generation_timeout::request_deadline:
        return plan_.timeout;
    case generation_timeout::placement_limit:
        return settings_.placement_limit;
    case generation_timeout::commit_limit:
        return settings_.commit_limit;
    case generation_timeout::first_token_limit:
        return host_.timeouts().first_token_limit(work);
    case generation_timeout::token_gap_limit:
        return host_.timeouts().token_gap_limit(work);
    case generation_timeout::probe_limit:
        return host_.timeouts().probe_limit();
    case generation_timeout::stall_limit:
        break;
    }
    return host_.timeouts().stall_limit(attempt_has_token());
}

void generation::open_attempt()
{
    attempt_ = attempt_.next();
    target_ = chosen_target_->name;
    attempt_start_ = journal_.size();
    std::string text = core::concat(plan_.prompt, journal_.text());
    prompt_words_ = count_words(text);
    host_.send(api::open_attempt{{plan_.id, attempt_},
                                 chosen_target_->name,
                                 chosen_target_->address,
                                 plan_.service,
                                 std::move(text),
                                 journal_.size(),
                                 plan_.max_tokens - journal_.size(),
                                 plan_.priority});
}

void generation::append_tokens()
{
    const std::uint64_t held = journal_.size();
    journal_.append(incoming_tokens_->first, incoming_tokens_->tokens);
    if (journal_.size() > held) {
        host_.on_attempt_tokens(plan_.id, held, journal_.from(held));
    }
}

void generation::note_loss()
{
    host_.on_attempt_lost(plan_.id, *target_, last_loss_cause_);
    lost_targets_.insert(*target_);
    core::log_event(core::log_level::info, "attempt_lost",
                    {{"generation", plan_.id.value()},
                     {"attempt", attempt_.value()},
                     {"target", target_->str()},
                     {"tokens", journal_.size()},
                     {"reason", last_loss_detail_}});
    target_.reset();
    const std::uint64_t kept = host_.resumes().kept_tokens(journal_.size());
    if (kept < journal_.size() && journal_.size() < plan_.max_tokens) {
        journal_.truncate(kept);
        host_.on_tokens_forgotten(plan_.id, kept);
    }
}

void generation::note_finish()
{
    host_.on_attempt_finished(plan_.id, *target_);
    target_.reset();
}

void generation::deliver()
{
    const std::uint64_t released = host_.released_tokens(plan_.id, journal_.size());
    for (waiting_caller& caller : callers_) {
        if (caller.request.streaming) {
            deliver_to(caller, std::min(released, journal_.size()));
        }
    }
}

void generation::deliver_to(waiting_caller& caller, std::uint64_t end)
{
    if (caller.next >= end) {
        return;
    }
    const std::uint64_t first = caller.next;
    caller.next = end;
    host_.send(api::answer_tokens{caller.request.caller, first, journal_.range(first, end),
                                  plan_.origin.branch()});
}

void generation::finish(waiting_caller& caller)
{
    deliver_to(caller, journal_.size());
    host_.send(api::answer_complete{caller.request.caller, journal_.size(), attempt_.value()});
}

void generation::finish_callers()
{
    for (waiting_caller& caller : callers_) {
        finish(caller);
    }
    callers_.clear();
}

void generation::hand_over_callers()
{
    for (const waiting_caller& each : callers_) {
        const api::generation_request& request = each.request;
        host_.hand_over(api::generation_request{
            request.caller, request.bearer, request.key, request.service, request.prompt,
            request.max_tokens, request.streaming, each.next, request.timeout,
            each.next == request.tokens_held ? request.held_branch : plan_.origin.branch()});
    }
    callers_.clear();
}

void generation::fail_callers(core::error_kind kind, std::string_view problem,
                              std::string_view remedy)
{
    // Only a generation without any attempt or token is certain not to have run.
    const bool not_run = attempt_.value() == 0 && journal_.size() == 0;
    fail_callers(core::to_failure(core::make_error(kind, problem, remedy), not_run));
}

void generation::fail_callers(const core::failure& reason)
{
    failure_.emplace(reason);
    for (const waiting_caller& caller : callers_) {
        host_.send(api::answer_failed{caller.request.caller, *failure_});
    }
    callers_.clear();
}

} // namespace cyclamen::generation
