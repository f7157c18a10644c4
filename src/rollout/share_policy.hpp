#pragma once

#include "model/rollout.hpp"
#include "rollout/judgement.hpp"

namespace cyclamen::rollout {

/// Input of a share policy.
struct rollout_view {
    const model::rollout& declared;
    const evidence& observed;
    /// Fraction of the selected targets that is ready to serve the new version, from 0 to 1.
    const double ready_share;
    const core::wall_time now;
};

/// How much traffic goes to the new version, and how it is distributed.
struct exposure {
    /// Fraction of the selected traffic, from 0 to 1.
    const double share;
    /// True if this traffic is sent in short bursts, so that few targets run at full load.
    const bool concentrated;

    auto operator<=>(const exposure&) const = default;
};

/// Decision of a share policy.
struct assessment {
    const rollout::exposure exposure;
    /// Set if the version should be taken back.
    const std::optional<finding> fault;
    /// True if the share may grow beyond the exposure limit.
    const bool proven;
    /// Why the share is what it is, for the report.
    const std::string reason;

    auto operator<=>(const assessment&) const = default;
};

/// Decides the share of a new version and judges it. Implementations are pure, so instances with
/// the same evidence decide the same. Called by the rollout manager on the decision task. Policies
/// don't see vetoes: a veto overrides every share.
class share_policy {
  public:
    virtual ~share_policy() = default;

    /// @param view the rollout, its evidence and the time
    /// @return the share and the judgement
    [[nodiscard]] virtual assessment assess(const rollout_view& view) const = 0;
};

/// The version and the cohort chosen for a request.
struct arm_choice {
    const api::rollout_arm arm;
    const api::cohort cohort;

    auto operator<=>(const arm_choice&) const = default;
};

/// Decides which version serves a request. A pure function.
/// @param current exposure of the new version
/// @param rollout key of the rollout start
/// @param request uniformly distributed hash of the request
/// @param now wall-clock time
/// @return the version, and whether the request should go to one of few targets
[[nodiscard]] arm_choice choose_arm(const exposure& current, const model::rollout_key& rollout,
                                    std::uint64_t request, core::wall_time now);

} // namespace cyclamen::rollout
