#include <algorithm>

#include "relay/relay_manager.hpp"

/// @file
/// Calls to plain services, whose targets are shared with the other instances.

namespace cyclamen::relay {

namespace {

/// Targets among which a call looks for a share.
constexpr std::size_t max_choices = 8;

} // namespace

void relay_manager::update_shares()
{
    for (const core::service_name& service : shares_.services()) {
        shares_.set_targets(service, targets_.serving_targets(service));
    }
}

std::optional<call_turn> relay_manager::turn_of(const request_plan& plan,
                                                const placement_query& query)
{
    if (!shares_.has(plan.service)) {
        shares_.set_targets(plan.service, targets_.serving_targets(plan.service));
    }
    const std::size_t wanted = shares_.limits_at(plan.service, now_) ? max_choices : 1;
    std::vector<placement> choices;
    std::vector<core::target_name> names;
    std::set<core::target_name> tried = query.tried;
    while (choices.size() < wanted) {
        const auto found =
            targets_.choose(placement_query{query.service, query.prompt_tokens, query.prompt_key,
                                            tried, query.lost_domain, query.copy_holder,
                                            query.wants_standby, query.loads, query.rule},
                            now_);
        if (!found.has_value() ||
            std::find(names.begin(), names.end(), found->target.name) != names.end()) {
            break;
        }
        tried.insert(found->target.name);
        names.push_back(found->target.name);
        choices.push_back(*found);
    }
    if (choices.empty()) {
        return std::nullopt;
    }
    const core::instant deadline =
        plan.accepted + std::min(plan.submitted.timeout, plan.matched_route.answer_limit);
    const core::instant goal_at = plan.accepted + plan.matched_route.answer_goal;
    const limits::send_decision decision =
        shares_.decide(plan.service,
                       limits::send_request{plan.number.value(), plan.matched_route.rank,
                                            plan.accepted, goal_at, deadline, names},
                       now_);
    if (decision.verdict != limits::send_verdict::send) {
        return call_turn{decision.verdict, std::nullopt, decision.ask_at, decision.retry_after};
    }
    const auto chosen = std::find_if(choices.begin(), choices.end(), [&](const placement& each) {
        return each.target.name == decision.target;
    });
    return call_turn{decision.verdict, *chosen, now_, core::duration::zero()};
}

void relay_manager::on_rejected(const request_plan& plan, const core::target_name& target)
{
    shares_.on_rejected(plan.service, target, now_);
}

} // namespace cyclamen::relay
