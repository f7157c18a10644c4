#include "rollout/outcome_recorder.hpp"

#include <algorithm>

namespace cyclamen::rollout {

namespace {

/// Connections lost within this time after a crash count as part of the same crash.
constexpr core::duration crash_merge_time = std::chrono::seconds{1};
/// Most crashes of one version that an instance excuses, so that a version that crashes on many
/// requests still gets the blame.
constexpr std::uint64_t max_excused = 4;

} // namespace

cell_sum& outcome_recorder::cell_of(const placed_attempt& attempt)
{
    const api::evidence_cell cell{attempt.rollout, window_at(attempt.opened), attempt.stratum,
                                  attempt.choice.arm, attempt.choice.cohort};
    changed_cells_.insert(cell);
    return cells_[cell];
}

crash_sum& outcome_recorder::crashes_of(const placed_attempt& attempt, core::wall_time at)
{
    const api::target_cell cell{attempt.rollout, window_at(at), attempt.choice.arm, attempt.target};
    changed_targets_.insert(cell);
    return crashes_[cell];
}

void outcome_recorder::on_first_token(const placed_attempt& attempt, core::duration latency)
{
    ++cell_of(attempt).first_token.at(latency_bucket(latency));
}

void outcome_recorder::on_end(const placed_attempt& attempt, attempt_end end, core::wall_time now)
{
    switch (end) {
    case attempt_end::unrelated:
        return;
    case attempt_end::lost:
        ++cell_of(attempt).losses;
        count_crash(attempt, now);
        break;
    case attempt_end::failed:
        ++cell_of(attempt).failures;
        break;
    case attempt_end::finished:
        break;
    }
    ++cell_of(attempt).attempts;
    crashes_of(attempt, now);
}

void outcome_recorder::count_crash(const placed_attempt& attempt, core::wall_time now)
{
    crash_sum& sum = crashes_of(attempt, now);
    const auto last = last_crash_.find(attempt.target);
    if (last != last_crash_.end() && attempt.opened <= last->second + crash_merge_time) {
        return;
    }
    ++sum.crashes;
    last_crash_.insert_or_assign(attempt.target, now);
}

void outcome_recorder::excuse(const placed_attempt& attempt, core::wall_time lost)
{
    std::uint64_t& count = excused_[{attempt.rollout, attempt.choice.arm}];
    if (count < max_excused) {
        ++count;
        ++crashes_of(attempt, lost).excused;
    }
}

api::rollout_gossip outcome_recorder::take_changes()
{
    std::vector<api::cell_count> cells;
    for (const api::evidence_cell& cell : changed_cells_) {
        const cell_sum& sum = cells_[cell];
        cells.push_back({origin_, cell, {sum.attempts, sum.failures, sum.losses, sum.first_token}});
    }
    std::vector<api::target_count> targets;
    for (const api::target_cell& cell : changed_targets_) {
        const crash_sum& sum = crashes_[cell];
        targets.push_back({cell, sum.crashes, sum.excused});
    }
    changed_cells_.clear();
    changed_targets_.clear();
    return {std::move(cells), std::move(targets), {}};
}

} // namespace cyclamen::rollout
