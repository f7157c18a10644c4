#pragma once

#include "rollout/schedule.hpp"
#include "rollout/share_policy.hpp"

namespace cyclamen::rollout {

/// Keeps the share small until the version is proven and the latest start that still meets the
/// deadline has come. Then the share grows in steps, each limited by the share that was observed in
/// the windows before.
class evidence_policy final : public share_policy {
  public:
    /// @param schedule timing of the move
    /// @param limits limits of the judgement
    /// @param concentrates true if bursts of both versions can be sent to few targets
    evidence_policy(schedule_settings schedule, judgement_settings limits, bool concentrates = true)
        : schedule_{schedule}, limits_{limits}, concentrates_{concentrates}
    {
    }

    [[nodiscard]] assessment assess(const rollout_view& view) const override;

  private:
    schedule_settings schedule_;
    judgement_settings limits_;
    bool concentrates_;

    [[nodiscard]] exposure exposure_of(const rollout_view& view, bool proven) const;
};

} // namespace cyclamen::rollout
