#include <algorithm>

#include "relay/relay_manager.hpp"

/// @file
/// Rollouts of services, as ordered by the operator.

namespace cyclamen::relay {

void relay_manager::on(const rollouts_listed& update)
{
    for (const core::service_name& each : update.gone) {
        rollouts_.erase(each);
        superseded_rollouts_.erase(each);
    }
    for (const rollout_order& each : update.present) {
        const auto known = rollouts_.find(each.service);
        if (known == rollouts_.end() || known->second->order().store_version < each.store_version) {
            apply_order(each);
        }
    }
}

void relay_manager::apply_order(const rollout_order& order)
{
    std::unique_ptr<version_rollout>& current = rollouts_[order.service];
    std::unique_ptr<version_rollout>& superseded = superseded_rollouts_[order.service];
    const auto is_renewed_by_order = [&](const std::unique_ptr<version_rollout>& rollout) {
        return rollout != nullptr && rollout->order().repeats(order) &&
               rollout->order().store_version.era() < order.store_version.era();
    };
    if (!is_renewed_by_order(current) && is_renewed_by_order(superseded)) {
        current = std::move(superseded);
    }
    if (is_renewed_by_order(current)) {
        current->renew(order, now_);
    }
    else {
        const bool restored =
            current != nullptr && current->order().store_version.era() < order.store_version.era();
        superseded = restored ? std::move(current) : nullptr;
        current = std::make_unique<version_rollout>(order, settings_.name, settings_.rollouts,
                                                    charts_.rollout,
                                                    static_cast<rollout_host&>(*this), now_);
    }
    if (const auto ended = rollout_outcomes_.find(order.service);
        ended != rollout_outcomes_.end()) {
        current->on_outcome(ended->second, now_);
    }
}

void relay_manager::on(const rollout_reports_listed& update)
{
    for (const rollout_outcome& each : update.outcomes) {
        rollout_outcomes_.erase(each.service);
        rollout_outcomes_.emplace(each.service, each);
        if (const auto found = rollouts_.find(each.service); found != rollouts_.end()) {
            found->second->on_outcome(each, now_);
        }
    }
    for (const rollout_evidence& each : update.evidence) {
        if (const auto found = rollouts_.find(each.service); found != rollouts_.end()) {
            found->second->on_evidence(each, now_);
        }
    }
}

void relay_manager::review_rollouts()
{
    for (const auto& [service, rollout] : rollouts_) {
        const auto due = rollout->next_deadline();
        if (!due.has_value() || *due > now_) {
            continue;
        }
        for (const auto& [number, request] : requests_) {
            if (request->plan().service == service) {
                request->check_slow(rollout->order().version, slow_limit(request->plan()), now_);
            }
        }
        rollout->on_timer(now_);
    }
}

core::duration relay_manager::slow_limit(const request_plan& plan) const
{
    const auto baseline = baselines_.find(plan.service);
    const core::duration goal = plan.matched_route.answer_goal;
    return baseline == baselines_.end() ? goal : baseline->second.slow_limit(goal);
}

std::optional<version_rule> relay_manager::version_rule_for(const request_plan& plan, bool is_first)
{
    const auto found = rollouts_.find(plan.service);
    return found == rollouts_.end() ? std::nullopt : found->second->admit(is_first, now_);
}

void relay_manager::on_attempt_outcome(const request_plan& plan, const target_record& target,
                                       core::duration waited, bool failed)
{
    if (!failed) {
        shares_.on_answered(plan.service, target.name, plan.matched_route.answer_goal, waited,
                            now_);
    }
    const auto found = rollouts_.find(plan.service);
    const bool is_new =
        found != rollouts_.end() && target.version == found->second->order().version;
    if (found != rollouts_.end()) {
        found->second->count(target.version, !failed && waited <= slow_limit(plan), now_);
    }
    if (!failed && !is_new) {
        baselines_[plan.service].add(waited);
    }
}

std::pair<std::size_t, std::size_t> relay_manager::position() const
{
    const std::vector<member> members = members_.members();
    const auto own = std::find_if(members.begin(), members.end(), [this](const member& each) {
        return each.name == settings_.name;
    });
    return {static_cast<std::size_t>(own - members.begin()), members.size()};
}

bool relay_manager::has_target(const rollout_order& order) const
{
    return targets_.has_target(order.service, order.version);
}

void relay_manager::write_outcome(const rollout_order& order, bool completed)
{
    const auto known = rollout_outcomes_.find(order.service);
    // An outcome that no later era has was lost in a restore of the store.
    const bool listed = known != rollout_outcomes_.end() &&
                        known->second.store_version.era() == order.store_version.era();
    host_.send(write_rollout_outcome{order.service, order.version, completed,
                                     listed ? known->second.store_version : core::store_version{}});
}

void relay_manager::write_evidence(const rollout_evidence& evidence)
{
    host_.send(write_rollout_evidence{evidence});
}

} // namespace cyclamen::relay
