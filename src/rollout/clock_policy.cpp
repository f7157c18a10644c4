#include "rollout/clock_policy.hpp"

#include <algorithm>

#include "core/text.hpp"

namespace cyclamen::rollout {

namespace {

/// @return requests and errors of the new version in this window and the one before
cell_sum recent(const rollout_view& view)
{
    const model::rollout_key key = view.declared.key();
    const api::window_number first{window_at(view.now).value() - 1};
    cell_sum sum;
    const auto& cells = view.observed.cells();
    for (auto cell = cells.lower_bound(
             api::evidence_cell{key, first, {}, api::rollout_arm::from, api::cohort::spread});
         cell != cells.end() && cell->first.rollout == key; ++cell) {
        if (cell->first.arm == api::rollout_arm::to) {
            sum.attempts += cell->second.attempts;
            sum.failures += cell->second.failures + cell->second.losses;
        }
    }
    return sum;
}

} // namespace

assessment clock_policy::assess(const rollout_view& view) const
{
    const double remaining = core::to_seconds(view.declared.deadline - settings_.margin - view.now);
    const double scheduled = 1 - remaining / core::to_seconds(settings_.ramp);
    const double share = std::min(std::clamp(scheduled, 0.0, 1.0), view.ready_share);
    const cell_sum sum = recent(view);
    std::optional<finding> fault;
    const double max_failures = settings_.error_threshold * static_cast<double>(sum.attempts);
    if (sum.attempts >= settings_.min_requests &&
        static_cast<double>(sum.failures) > max_failures) {
        fault.emplace(finding{api::veto_reason::failures,
                              core::concat(sum.failures, " errors of ", sum.attempts)});
    }
    return {{share, false}, std::move(fault), true, "follows the schedule"};
}

} // namespace cyclamen::rollout
