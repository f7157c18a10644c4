#include "relay/relay_charts.hpp"

#include "relay/entry_lifecycle.hpp"
#include "relay/request_chart.hpp"
#include "relay/run_protection.hpp"
#include "relay/version_rollout.hpp"
#include "routing/target_health_chart.hpp"

namespace cyclamen::relay {

absl::StatusOr<relay_charts> relay_charts::load(const chart::library& files)
{
    const auto request = files.load("relayed_request", request_vocabulary());
    if (!request.ok()) {
        return request.status();
    }
    const auto protection = files.load("run_protection", protection_vocabulary());
    if (!protection.ok()) {
        return protection.status();
    }
    const auto lifecycle = files.load("entry_life", entry_lifecycle_vocabulary());
    if (!lifecycle.ok()) {
        return lifecycle.status();
    }
    const auto health = files.load("target_health", routing::target_health_vocabulary());
    if (!health.ok()) {
        return health.status();
    }
    const auto rollout = files.load("version_rollout", rollout_vocabulary());
    if (!rollout.ok()) {
        return rollout.status();
    }
    return relay_charts{*request, *protection, *lifecycle, *health, *rollout};
}

} // namespace cyclamen::relay
