#pragma once

#include "chart/library.hpp"
#include "rollout/evidence_policy.hpp"
#include "rollout/rollout_manager.hpp"

namespace cyclamen::test {

/// Start of a window.
inline const core::wall_time window_start{std::chrono::hours{1000}};

inline model::rollout make_rollout(core::duration until_deadline, std::uint32_t attempt = 1)
{
    return {core::rollout_name{"move"},
            core::service_name{"notices"},
            core::version_name{"v1"},
            core::version_name{"v2"},
            {},
            {},
            window_start + std::chrono::ceil<std::chrono::milliseconds>(until_deadline),
            std::chrono::minutes{10},
            50,
            attempt,
            0};
}

inline rollout::placed_attempt make_attempt(api::rollout_arm arm, std::string target,
                                            core::wall_time opened, std::string route = "stream")
{
    return {make_rollout(std::chrono::hours{1}).key(),
            {arm, api::cohort::concentrated},
            {api::route_name{std::move(route)}, {}},
            core::target_name{std::move(target)},
            opened};
}

/// Records outcomes of requests on one instance and merges them to evidence.
class recorded_requests {
  public:
    void add(api::rollout_arm arm, int count, rollout::attempt_end end, core::wall_time when,
             const std::string& route = "stream")
    {
        const std::string target = arm == api::rollout_arm::to ? "n" : "o";
        for (int i = 0; i < count; ++i) {
            recorder.on_end(make_attempt(arm, target, when, route), end, when);
        }
    }

    rollout::evidence known()
    {
        rollout::evidence merged;
        const api::rollout_gossip gossip = recorder.take_changes();
        for (const auto& count : gossip.cells) {
            merged.merge(count);
        }
        for (const auto& count : gossip.targets) {
            merged.merge(count);
        }
        return merged;
    }

    rollout::outcome_recorder recorder{
        api::evidence_origin{core::instance_name{"i"}, core::incarnation{1}}};
};

} // namespace cyclamen::test
