#pragma once

#include "limits/start_policy.hpp"

namespace cyclamen::limits {

/// Baseline for comparisons: every request starts at once and every run is copied.
class immediate_start final : public start_policy {
  public:
    [[nodiscard]] start_decision decide(const start_request& /*request*/,
                                        const engine_load& /*load*/) const override
    {
        return start_decision{start_verdict::start, core::duration::zero()};
    }

    [[nodiscard]] bool has_room_for_copy(const start_request& /*request*/,
                                         const engine_load& /*load*/) const override
    {
        return true;
    }

    void on_first_event(const start_observation& /*seen*/) override {}
    void on_finished(core::duration /*run_time*/) override {}
};

} // namespace cyclamen::limits
