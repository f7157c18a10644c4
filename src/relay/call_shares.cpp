#include "relay/call_shares.hpp"

#include "core/log.hpp"

namespace cyclamen::relay {

std::vector<core::service_name> call_shares::services() const
{
    std::vector<core::service_name> names;
    for (const auto& [name, share] : services_) {
        names.push_back(name);
    }
    return names;
}

limits::send_policy* call_shares::find(const core::service_name& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second.policy.get();
}

void call_shares::set_instances(std::size_t count, core::instant now)
{
    instances_ = count;
    fleet_known_at_ = fleet_known_at_.value_or(now);
    for (const auto& [name, share] : services_) {
        share.policy->set_instances(count, now);
    }
}

void call_shares::set_targets(const core::service_name& service,
                              const std::vector<target_record>& targets)
{
    const auto [found, added] = services_.try_emplace(service);
    service_share& share = found->second;
    if (added) {
        share.policy = make_policy_();
        if (fleet_known_at_.has_value()) {
            share.policy->set_instances(instances_, *fleet_known_at_);
        }
    }
    std::set<core::target_name> listed;
    for (const target_record& each : targets) {
        share.policy->on_listed(each.name, each.slots);
        listed.insert(each.name);
    }
    for (const core::target_name& name : share.listed) {
        if (!listed.contains(name)) {
            share.policy->on_forgotten(name);
        }
    }
    share.listed = std::move(listed);
}

bool call_shares::limits_at(const core::service_name& service, core::instant now) const
{
    const limits::send_policy* policy = find(service);
    return policy != nullptr && policy->limits_at(now);
}

limits::send_decision call_shares::decide(const core::service_name& service,
                                          const limits::send_request& request, core::instant now)
{
    return services_.at(service).policy->decide(request, now);
}

void call_shares::on_sent(const core::service_name& service, const core::target_name& target,
                          core::instant now)
{
    if (limits::send_policy* policy = find(service); policy != nullptr) {
        policy->on_sent(target, now);
    }
}

void call_shares::on_answered(const core::service_name& service, const core::target_name& target,
                              core::duration goal, core::duration took, core::instant now)
{
    report(service, target, "slow answer", now,
           [&](limits::send_policy& policy) { policy.on_answered(target, goal, took, now); });
}

void call_shares::on_rejected(const core::service_name& service, const core::target_name& target,
                              core::instant now)
{
    report(service, target, "rejection", now,
           [&](limits::send_policy& policy) { policy.on_rejected(target, now); });
}

void call_shares::report(const core::service_name& service, const core::target_name& target,
                         std::string_view reason, core::instant now,
                         const std::function<void(limits::send_policy&)>& event)
{
    limits::send_policy* policy = find(service);
    if (policy == nullptr) {
        return;
    }
    const bool limited_before = policy->limits_at(now);
    const double rate_before = policy->rate_of(target);
    event(*policy);
    if (!policy->limits_at(now)) {
        return;
    }
    if (!limited_before) {
        core::log_event(core::log_level::info, "send_limited",
                        {{"service", service.str()},
                         {"target", target.str()},
                         {"reason", reason},
                         {"instances", instances_},
                         {"calls_per_second", policy->rate_of(target)}});
    }
    else if (policy->rate_of(target) < rate_before) {
        core::log_event(core::log_level::debug, "send_rate_changed",
                        {{"service", service.str()},
                         {"target", target.str()},
                         {"reason", reason},
                         {"before", rate_before},
                         {"calls_per_second", policy->rate_of(target)}});
    }
}

void call_shares::on_lost(const core::target_name& target, core::instant now)
{
    for (const auto& [name, share] : services_) {
        share.policy->on_lost(target, now);
    }
}

void call_shares::on_ended(const core::service_name& service, std::uint64_t number)
{
    if (limits::send_policy* policy = find(service); policy != nullptr) {
        policy->on_ended(number);
    }
}

} // namespace cyclamen::relay
