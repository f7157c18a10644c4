#include "call/call_manager.hpp"

#include <algorithm>

#include "core/error.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "model/client_account.hpp"

namespace cyclamen::call {

namespace {

bool is_safe_method(const std::string& method)
{
    return method == "GET" || method == "HEAD";
}

std::string hash_request(const api::call_request& request)
{
    return model::hash_key(core::concat(request.method, "\n", request.service.str(), "\n",
                                        request.path, "\n", request.body));
}

} // namespace

call_manager::call_manager(call_settings settings, std::string nonce_prefix,
                           std::shared_ptr<const chart::chart> definition,
                           routing::target_chooser& chooser, claim_store& store,
                           call_output& output)
    : settings_{settings}, nonce_prefix_{std::move(nonce_prefix)},
      definition_{std::move(definition)}, chooser_{chooser}, store_{store}, output_{output},
      claim_writer_{store, settings.claim_write_retry_period}
{
}

void call_manager::configure(model::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    chooser_.configure(configuration_);
}

void call_manager::refuse(core::caller_id caller, const absl::Status& status)
{
    ++refused_not_run_;
    output_.send(api::call_failed{caller, core::to_failure(status, true)});
}

void call_manager::on_request(const api::call_request& request, core::instant now)
{
    now_ = now;
    ++received_;
    const model::client_account* account = configuration_->find_account(request.bearer);
    if (account == nullptr) {
        refuse(request.caller, core::make_error(core::error_kind::unauthenticated,
                                                "the bearer key belongs to no client account",
                                                "send the key of a declared client account"));
        return;
    }
    const model::service* service = configuration_->find_service(request.service);
    if (service == nullptr || service->kind != model::service_kind::plain) {
        refuse(request.caller,
               core::make_error(core::error_kind::not_found,
                                core::concat("no plain service named ", request.service.str()),
                                "use the name of a declared plain service"));
        return;
    }
    begin(request, *account, *service);
}

void call_manager::begin(const api::call_request& request, const model::client_account& account,
                         const model::service& service)
{
    last_id_ = last_id_.next();
    const bool is_safe = is_safe_method(request.method);
    call_context context{last_id_,
                         claim_key{account.name, is_safe ? core::request_key{} : request.key},
                         core::concat(nonce_prefix_, "/", last_id_.value()),
                         hash_request(request),
                         service.version,
                         is_safe,
                         request};
    if (answer_from_recent_calls(context)) {
        return;
    }
    budgets_[service.name].add_call();
    calls_by_caller_.emplace(request.caller, last_id_);
    auto created = std::make_unique<call>(std::move(context), settings_, definition_,
                                          static_cast<call_host&>(*this));
    call& started = *created;
    calls_.emplace(last_id_, std::move(created));
    started.start();
    advance(started);
}

bool call_manager::answer_from_recent_calls(const call_context& context)
{
    const auto found = recent_calls_.find(context.claim);
    if (found == recent_calls_.end() || !found->second.response.has_value() ||
        found->second.body_hash != context.body_hash) {
        return false;
    }
    answer(context.request.caller, *found->second.response);
    return true;
}

call* call_manager::find(api::call_id id)
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : found->second.get();
}

void call_manager::advance(call& current)
{
    while (current.is_claimed()) {
        current.proceed(choose(current));
    }
    if (current.is_over()) {
        calls_by_caller_.erase(current.context().request.caller);
        calls_.erase(api::call_id{current.context().id});
    }
}

std::optional<model::target> call_manager::choose(const call& pending_call)
{
    const call_context& context = pending_call.context();
    const auto chosen = chooser_.choose(
        routing::placement_request{
            context.request.service, context.version, {}, pending_call.failed_targets(), false},
        now_);
    return chosen.ok() ? std::optional{*chosen} : std::nullopt;
}

void call_manager::on_caller_gone(core::caller_id caller, core::instant now)
{
    now_ = now;
    const auto known = calls_by_caller_.extract(caller);
    call* found = known.empty() ? nullptr : find(known.mapped());
    if (found != nullptr) {
        found->on_caller_gone();
        advance(*found);
    }
}

void call_manager::on_service_event(const api::service_event& event, core::instant now)
{
    now_ = now;
    const api::call_attempt attempt =
        std::visit([](const auto& each) { return each.attempt; }, event);
    call* found = find(attempt.call);
    if (found == nullptr) {
        return;
    }
    if (const auto* sent = std::get_if<api::call_sent>(&event)) {
        found->on_sent(*sent);
    }
    else if (const auto* answered = std::get_if<api::call_answered>(&event)) {
        found->on_answered(*answered);
    }
    else {
        found->on_lost(std::get<api::call_lost>(event));
    }
    advance(*found);
}

void call_manager::on_claim_answer(claim_ticket ticket, const claim_answer& answer,
                                   core::instant now)
{
    now_ = now;
    const auto known = calls_by_ticket_.extract(ticket);
    call* found = known.empty() ? nullptr : find(known.mapped());
    if (found == nullptr) {
        return;
    }
    if (const auto* current = std::get_if<claim_current>(&answer)) {
        found->on_claim_current(current->claim);
    }
    else if (const auto* failed = std::get_if<claim_failed>(&answer)) {
        found->on_claim_failed(failed->may_be_applied);
    }
    else {
        found->on_claim_written();
    }
    advance(*found);
}

void call_manager::on_store_restored(core::instant now)
{
    claims_lost_until_ = now + settings_.restore_period;
    std::set<std::string> live;
    for (const auto& [id, each] : calls_) {
        live.insert(each->context().nonce);
    }
    for (const auto& [key, sent] : recent_calls_) {
        const claim_state state = sent.response.has_value()   ? claim_state::answered
                                  : live.contains(sent.nonce) ? claim_state::claimed
                                                              : claim_state::unknown;
        claim_writer_.save(key, claim_record{state, sent.nonce, sent.body_hash, sent.response},
                           api::row_version{}, now);
    }
}

void call_manager::on_timer(core::instant now)
{
    now_ = now;
    while (!timer_queue_.empty() && timer_queue_.begin()->first <= now) {
        const timer_key fired = timer_queue_.begin()->second;
        timer_queue_.erase(timer_queue_.begin());
        timers_.erase(fired);
        if (call* found = find(fired.first); found != nullptr) {
            found->on_timer(fired.second);
            advance(*found);
        }
    }
    claim_writer_.on_timer(now);
}

std::optional<core::instant> call_manager::next_deadline() const
{
    std::optional<core::instant> next = claim_writer_.next_deadline();
    if (!timer_queue_.empty()) {
        next = std::min(next.value_or(timer_queue_.begin()->first), timer_queue_.begin()->first);
    }
    return next;
}

call_counts call_manager::counts() const
{
    return call_counts{received_, answered_, refused_not_run_, unknown_, offered_};
}

void call_manager::write_claim(const call_context& context, api::row_version expected)
{
    const claim_record record{claim_state::claimed, context.nonce, context.body_hash, std::nullopt};
    calls_by_ticket_.emplace(store_.write(context.claim, record, expected, *this, now_),
                             context.id);
}

void call_manager::read_claim(const call_context& context)
{
    calls_by_ticket_.emplace(store_.read(context.claim, *this), context.id);
}

void call_manager::save_final_state(const call_context& context, claim_record record,
                                    api::row_version expected)
{
    claim_writer_.save(context.claim, std::move(record), expected, now_);
}

bool call_manager::may_have_run_here(const call_context& context) const
{
    return !context.claim.key.empty() && recent_calls_.contains(context.claim);
}

bool call_manager::has_store_lost_claims() const
{
    return claims_lost_until_.has_value() && now_ < *claims_lost_until_;
}

bool call_manager::take_retry(const call_context& context)
{
    return budgets_[context.request.service].try_acquire();
}

void call_manager::on_attempt_opened(const call_context& context, const core::target_name& target)
{
    ++offered_;
    chooser_.on_opened(target, now_);
    if (context.claim.key.empty()) {
        return;
    }
    const auto [position, is_new] = recent_calls_.try_emplace(
        context.claim, recent_call{context.nonce, context.body_hash, std::nullopt});
    if (!is_new) {
        return;
    }
    recent_call_order_.push_back(context.claim);
    if (recent_call_order_.size() > settings_.max_recent_calls) {
        recent_calls_.erase(recent_call_order_.front());
        recent_call_order_.pop_front();
    }
}

void call_manager::on_attempt_not_sent(const call_context& context)
{
    const auto found = recent_calls_.find(context.claim);
    if (found != recent_calls_.end() && found->second.nonce == context.nonce) {
        recent_calls_.erase(found);
    }
}

void call_manager::on_attempt_ended(const core::target_name& target, bool lost)
{
    if (lost) {
        chooser_.on_lost(target, now_);
    }
    else {
        chooser_.on_finished(target, now_);
    }
}

void call_manager::on_answer_received(const call_context& context,
                                      const api::service_response& response)
{
    const auto found = recent_calls_.find(context.claim);
    if (found != recent_calls_.end() && response.body.size() <= settings_.max_stored_body_bytes) {
        found->second.body_hash = context.body_hash;
        found->second.response.emplace(response);
    }
}

void call_manager::answer(core::caller_id caller, const api::service_response& response)
{
    ++answered_;
    output_.send(api::call_answer{caller, response});
}

void call_manager::fail(const call_context& context, core::failure reason)
{
    if (reason.not_run) {
        ++refused_not_run_;
    }
    else {
        ++unknown_;
        core::log_event(core::log_level::warning, "call_outcome_unknown",
                        {{"account", context.claim.account.str()},
                         {"service", context.request.service.str()},
                         {"key", context.request.key.str()},
                         {"nonce", context.nonce}});
    }
    output_.send(api::call_failed{context.request.caller, std::move(reason)});
}

void call_manager::start_timer(api::call_id id, call_event event, core::duration delay)
{
    stop_timer(id, event);
    const core::instant deadline = now_ + delay;
    timers_.emplace(timer_key{id, event}, deadline);
    timer_queue_.emplace(deadline, timer_key{id, event});
}

void call_manager::stop_timer(api::call_id id, call_event event)
{
    const auto found = timers_.find(timer_key{id, event});
    if (found != timers_.end()) {
        timer_queue_.erase({found->second, found->first});
        timers_.erase(found);
    }
}

} // namespace cyclamen::call
