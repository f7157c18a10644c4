#include "lease/reconciler.hpp"

namespace cyclamen::lease {

void reconciler::set_desired(const std::vector<desired_version>& desired)
{
    std::map<core::target_name, desired_version> replaced;
    for (const desired_version& version : desired) {
        const auto known = desired_.find(version.target);
        if (known == desired_.end() || known->second != version) {
            ordered_at_.erase(version.target);
        }
        replaced.emplace(version.target, version);
    }
    desired_.swap(replaced);
}

void reconciler::observe(const core::target_name& target, const core::version_name& version)
{
    observed_.insert_or_assign(target, version);
}

bool reconciler::differs(const desired_version& desired) const
{
    const auto observed = observed_.find(desired.target);
    return observed == observed_.end() || observed->second != desired.version;
}

std::vector<engine_order> reconciler::take_orders(const lease& held, core::instant now)
{
    std::vector<engine_order> orders;
    for (const auto& [target, desired] : desired_) {
        const auto until = held.order_deadline(desired.checks_fencing, now);
        const auto ordered = ordered_at_.find(target);
        const bool is_recent =
            ordered != ordered_at_.end() && now - ordered->second < retry_interval_;
        if (!until.has_value() || is_recent || !differs(desired)) {
            continue;
        }
        orders.push_back({target, desired.version, held.fence(), *until});
        ordered_at_.insert_or_assign(target, now);
    }
    return orders;
}

std::set<core::target_name> reconciler::differing_targets() const
{
    std::set<core::target_name> names;
    for (const auto& [target, desired] : desired_) {
        if (differs(desired)) {
            names.insert(target);
        }
    }
    return names;
}

} // namespace cyclamen::lease
