#include "core/text.hpp"
#include "generation/generation_manager.hpp"
#include "generation/request_rules.hpp"

/// @file
/// How the generation manager assigns requests: to a generation that runs here, to one found at a
/// peer, or to a new one.

namespace cyclamen::generation {

void generation_manager::on_request(const api::generation_request& request, core::instant now)
{
    now_ = now;
    const model::client_account* account = configuration_->find_account(request.bearer);
    if (account == nullptr) {
        refuse(request.caller,
               core::make_error(core::error_kind::unauthenticated,
                                "the bearer key belongs to no client account",
                                "send Authorization: Bearer with the key of a client account"));
        return;
    }
    const model::service* service = configuration_->find_service(request.service);
    if (service == nullptr || service->kind != model::service_kind::generation) {
        refuse(request.caller, core::make_error(core::error_kind::not_found,
                                                core::concat("no model ", request.service.str()),
                                                "name a declared model"));
        return;
    }
    const account_key key{account->name, request.key};
    if (generation* existing = find_by_key(key)) {
        join(*existing, request);
    }
    else if (!request.key.empty() && checkpoints_ != nullptr) {
        followers_.add(api::checkpoint_key{key.first, key.second}, request, now);
    }
    else {
        admit(request, std::nullopt);
    }
    place_waiting();
}

void generation_manager::on_search_ended(const api::checkpoint_key& key,
                                         const std::optional<found_checkpoint>& found)
{
    followers_.on_search_ended(key, found, now_);
    place_waiting();
}

generation* generation_manager::find_by_key(const account_key& key)
{
    const auto known = by_key_.find(key);
    if (key.second.empty() || known == by_key_.end()) {
        return nullptr;
    }
    generation* found = find(known->second);
    return found->is_over() && found->state_name() != "done" ? nullptr : found;
}

void generation_manager::join(generation& existing, const api::generation_request& request)
{
    const generation_plan& plan = existing.plan();
    if (plan.request_hash != detail::hash_of(request)) {
        refuse(request.caller, detail::key_reused());
        return;
    }
    if (!plan.origin.covers(request.held_branch, request.tokens_held, existing.tokens().size())) {
        refuse(request.caller, detail::position_unknown(request.tokens_held));
        return;
    }
    by_caller_.insert_or_assign(request.caller, plan.id);
    if (checkpoints_ != nullptr && request.streaming) {
        checkpoints_->enable_streaming(plan.id);
    }
    existing.attach(request);
    retire_if_over(existing);
}

void generation_manager::find_checkpoint(const api::checkpoint_key& key,
                                         const caller_position& position)
{
    checkpoints_->find_checkpoint(key, position, now_);
}

void generation_manager::hand_over(const api::generation_request& request)
{
    const core::generation_id id = by_caller_.at(request.caller);
    by_caller_.erase(request.caller);
    followers_.hand_over(api::checkpoint_key{find(id)->plan().account, request.key}, request, now_);
}

void generation_manager::admit(const api::generation_request& request,
                               const std::optional<found_checkpoint>& found)
{
    const model::client_account* account = configuration_->find_account(request.bearer);
    const model::service* service = configuration_->find_service(request.service);
    if (account == nullptr || service == nullptr) {
        refuse(request.caller, core::make_error(core::error_kind::not_found,
                                                "the account or model is no longer declared",
                                                "contact the operator"));
        return;
    }
    if (generation* existing = find_by_key({account->name, request.key})) {
        join(*existing, request);
        return;
    }
    if (found.has_value() && found->state.request_hash != detail::hash_of(request)) {
        refuse(request.caller, detail::key_reused());
        return;
    }
    const bool covered =
        found.has_value()
            ? lineage{found->state.lineage}.covers(request.held_branch, request.tokens_held,
                                                   found->state.tokens.size())
            : request.tokens_held == 0;
    if (!covered) {
        refuse(request.caller, detail::position_unknown(request.tokens_held));
        return;
    }
    if (poison_.is_quarantined(fingerprint_of(account->name, request.prompt), now_)) {
        refuse(request.caller, detail::quarantined());
        return;
    }
    // A generation taken over from a lost instance was admitted there and isn't offered again.
    if (!found.has_value() && refuse_by_admission(request, *account)) {
        return;
    }
    start_generation(request, *account, *service, found);
}

void generation_manager::start_generation(const api::generation_request& request,
                                          const model::client_account& account,
                                          const model::service& service,
                                          const std::optional<found_checkpoint>& found)
{
    last_id_ = last_id_.next();
    const std::string route = detail::route_of(request);
    const core::version_name version =
        found.has_value()
            ? found->state.version
            : versions_->choose_version(new_generation{service, account, route}, now_);
    const lineage known = found.has_value() ? lineage{found->state.lineage} : lineage{};
    const lineage origin = known.extended(core::concat(origin_, "-", last_id_.value()),
                                          found.has_value() ? found->state.tokens.size() : 0);
    auto owned = std::make_unique<generation>(
        generation_plan{last_id_, account.name, request.key, service.name, version, request.prompt,
                        request.max_tokens, account.priority, request.timeout, route,
                        account.labels, origin, detail::hash_of(request)},
        settings_, definition_, static_cast<generation_host&>(*this), now_);
    generation& created = *owned;
    generations_.emplace(last_id_, std::move(owned));
    by_caller_.insert_or_assign(request.caller, last_id_);
    if (!request.key.empty()) {
        by_key_.insert_or_assign(account_key{account.name, request.key}, last_id_);
    }
    ++live_count_;
    if (found.has_value()) {
        created.restore_tokens(found->state.tokens);
    }
    created.start();
    created.finish_restore(found.has_value() && found->state.finished);
    open_checkpoint(created, found);
    if (checkpoints_ != nullptr && request.streaming) {
        checkpoints_->enable_streaming(created.plan().id);
    }
    created.attach(request);
    retire_if_over(created);
}

void generation_manager::open_checkpoint(const generation& created,
                                         const std::optional<found_checkpoint>& found)
{
    const generation_plan& plan = created.plan();
    // A complete answer is already held where it was found.
    if (checkpoints_ == nullptr || plan.key.empty() || created.is_over()) {
        return;
    }
    constexpr api::checkpoint_epoch first_epoch{1};
    checkpoints_->open(checkpoint_plan{plan.id,
                                       {plan.account, plan.key},
                                       found.has_value() ? found->epoch : first_epoch,
                                       plan.version,
                                       plan.request_hash,
                                       plan.origin},
                       created.tokens(), created.tokens().size(), now_);
}

} // namespace cyclamen::generation
