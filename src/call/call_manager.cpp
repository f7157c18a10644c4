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

call_manager::call_manager(call_settings settings, std::string origin,
                           std::shared_ptr<const chart::chart> definition,
                           routing::target_chooser& chooser, claim_store& store,
                           call_output& output)
    : settings_{settings}, origin_{std::move(origin)}, definition_{std::move(definition)},
      chooser_{chooser}, store_{store}, output_{output}, keeper_{store, settings.keep_period}
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
                                                "the bearer key names no client account",
                                                "send the key of an account"));
        return;
    }
    const model::service* service = configuration_->find_service(request.service);
    if (service == nullptr || service->kind != model::service_kind::plain) {
        refuse(request.caller,
               core::make_error(core::error_kind::not_found,
                                core::concat("no plain service ", request.service.str()),
                                "name a service that the operators declared"));
        return;
    }
    begin(request, *account, *service);
}

void call_manager::begin(const api::call_request& request, const model::client_account& account,
                         const model::service& service)
{
    last_id_ = last_id_.next();
    const bool is_safe = is_safe_method(request.method);
    call_plan plan{last_id_,
                   claim_key{account.name, is_safe ? core::request_key{} : request.key},
                   core::concat(origin_, "/", last_id_.value()),
                   hash_request(request),
                   service.version,
                   is_safe,
                   request};
    if (answer_from_memory(plan)) {
        return;
    }
    budgets_[service.name].earn();
    by_caller_.emplace(request.caller, last_id_);
    auto made = std::make_unique<call>(std::move(plan), settings_, definition_,
                                       static_cast<call_host&>(*this));
    call& started = *made;
    calls_.emplace(last_id_, std::move(made));
    started.start();
    settle(started);
}

bool call_manager::answer_from_memory(const call_plan& plan)
{
    const auto found = remembered_.find(plan.claim);
    if (found == remembered_.end() || !found->second.response.has_value() ||
        found->second.body_hash != plan.body_hash) {
        return false;
    }
    answer(plan.request.caller, *found->second.response);
    return true;
}

call* call_manager::find(api::call_id id)
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : found->second.get();
}

void call_manager::settle(call& changed)
{
    while (changed.is_claimed()) {
        changed.proceed(choose(changed));
    }
    if (changed.is_over()) {
        by_caller_.erase(changed.plan().request.caller);
        calls_.erase(api::call_id{changed.plan().id});
    }
}

std::optional<model::target> call_manager::choose(const call& placed)
{
    const call_plan& plan = placed.plan();
    const auto chosen = chooser_.choose(
        routing::placement_request{
            plan.request.service, plan.version, {}, placed.lost_targets(), false},
        now_);
    return chosen.ok() ? std::optional{*chosen} : std::nullopt;
}

void call_manager::on_caller_gone(core::caller_id caller, core::instant now)
{
    now_ = now;
    const auto known = by_caller_.extract(caller);
    call* found = known.empty() ? nullptr : find(known.mapped());
    if (found != nullptr) {
        found->on_caller_gone();
        settle(*found);
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
    settle(*found);
}

void call_manager::on_claim_answer(claim_ticket ticket, const claim_answer& answer,
                                   core::instant now)
{
    now_ = now;
    const auto known = tickets_.extract(ticket);
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
    settle(*found);
}

void call_manager::on_time(core::instant now)
{
    now_ = now;
    while (!due_.empty() && due_.begin()->first <= now) {
        const timer_key fired = due_.begin()->second;
        due_.erase(due_.begin());
        timers_.erase(fired);
        if (call* found = find(fired.first); found != nullptr) {
            found->on_timer(fired.second);
            settle(*found);
        }
    }
    keeper_.on_time(now);
}

std::optional<core::instant> call_manager::next_due() const
{
    std::optional<core::instant> next = keeper_.next_due();
    if (!due_.empty()) {
        next = std::min(next.value_or(due_.begin()->first), due_.begin()->first);
    }
    return next;
}

call_counts call_manager::counts() const
{
    return call_counts{received_, answered_, refused_not_run_, unknown_, offered_};
}

void call_manager::write_claim(const call_plan& plan, api::row_version expected)
{
    const claim_record record{claim_state::claimed, plan.nonce, plan.body_hash, std::nullopt};
    tickets_.emplace(store_.write(plan.claim, record, expected, *this, now_), plan.id);
}

void call_manager::read_claim(const call_plan& plan)
{
    tickets_.emplace(store_.read(plan.claim, *this), plan.id);
}

void call_manager::keep_claim(const call_plan& plan, claim_record record, api::row_version expected)
{
    keeper_.keep(plan.claim, std::move(record), expected, now_);
}

bool call_manager::knows_run(const call_plan& plan) const
{
    return !plan.claim.key.empty() && remembered_.contains(plan.claim);
}

bool call_manager::take_retry(const call_plan& plan)
{
    return budgets_[plan.request.service].take();
}

void call_manager::note_offered(const call_plan& plan, const core::target_name& target)
{
    ++offered_;
    chooser_.on_opened(target, now_);
    if (plan.claim.key.empty()) {
        return;
    }
    const auto [place, is_new] = remembered_.try_emplace(
        plan.claim, remembered_call{plan.nonce, plan.body_hash, std::nullopt});
    if (!is_new) {
        return;
    }
    remembered_order_.push_back(plan.claim);
    if (remembered_order_.size() > settings_.most_remembered) {
        remembered_.erase(remembered_order_.front());
        remembered_order_.pop_front();
    }
}

void call_manager::note_not_sent(const call_plan& plan)
{
    const auto found = remembered_.find(plan.claim);
    if (found != remembered_.end() && found->second.nonce == plan.nonce) {
        remembered_.erase(found);
    }
}

void call_manager::note_ended(const core::target_name& target, bool lost)
{
    if (lost) {
        chooser_.on_lost(target, now_);
    }
    else {
        chooser_.on_finished(target, now_);
    }
}

void call_manager::note_answered(const call_plan& plan, const api::service_response& response)
{
    const auto found = remembered_.find(plan.claim);
    if (found != remembered_.end() && response.body.size() <= settings_.most_kept_bytes) {
        found->second.body_hash = plan.body_hash;
        found->second.response.emplace(response);
    }
}

void call_manager::answer(core::caller_id caller, const api::service_response& response)
{
    ++answered_;
    output_.send(api::call_answer{caller, response});
}

void call_manager::fail(const call_plan& plan, core::failure reason)
{
    if (reason.not_run) {
        ++refused_not_run_;
    }
    else {
        ++unknown_;
        core::log_event(core::log_level::warning, "call_outcome_unknown",
                        {{"account", plan.claim.account.str()},
                         {"service", plan.request.service.str()},
                         {"key", plan.request.key.str()},
                         {"nonce", plan.nonce}});
    }
    output_.send(api::call_failed{plan.request.caller, std::move(reason)});
}

void call_manager::start_timer(api::call_id id, call_event event, core::duration delay)
{
    stop_timer(id, event);
    const core::instant due = now_ + delay;
    timers_.emplace(timer_key{id, event}, due);
    due_.emplace(due, timer_key{id, event});
}

void call_manager::stop_timer(api::call_id id, call_event event)
{
    const auto found = timers_.find(timer_key{id, event});
    if (found != timers_.end()) {
        due_.erase({found->second, found->first});
        timers_.erase(found);
    }
}

} // namespace cyclamen::call
