#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "rollout/evidence.hpp"
#include "rollout/share_policy.hpp"

namespace cyclamen::rollout {

/// One attempt at a target of a version that takes part in a rollout.
struct placed_attempt {
    const model::rollout_key rollout;
    const arm_choice choice;
    const api::stratum stratum;
    const core::target_name target;
    const core::wall_time opened;

    auto operator<=>(const placed_attempt&) const = default;
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
    finished,
    /// The target answered with an error of its own.
    failed,
    /// The connection ended early.
    lost,
    /// The version didn't cause it: the store failed, the caller left or the target was busy.
    unrelated,
};

/// Counts the outcomes that one instance observes. Crashes caused by a request that crashes any
/// version are excused, up to a limit.
class outcome_recorder {
  public:
    explicit outcome_recorder(api::evidence_origin origin) : origin_{std::move(origin)} {}

    /// Records the time to the first token of an attempt.
    void on_first_token(const placed_attempt& attempt, core::duration latency);

    /// Records the end of an attempt.
    void on_end(const placed_attempt& attempt, attempt_end end, core::wall_time now);

    /// Excuses a loss recorded before, because its request crashes targets of any version.
    /// @param attempt the lost attempt
    /// @param lost when it was lost
    void excuse(const placed_attempt& attempt, core::wall_time lost);

    /// @return the counters that have changed since the last call
    [[nodiscard]] api::rollout_gossip take_changes();

  private:
    using version_key = std::pair<model::rollout_key, api::rollout_arm>;

    api::evidence_origin origin_;
    std::map<api::evidence_cell, cell_sum> cells_;
    std::map<api::target_cell, crash_sum> crashes_;
    std::set<api::evidence_cell> changed_cells_;
    std::set<api::target_cell> changed_targets_;
    std::map<core::target_name, core::wall_time> last_crash_;
    std::map<version_key, std::uint64_t> excused_;

    cell_sum& cell_of(const placed_attempt& attempt);
    crash_sum& crashes_of(const placed_attempt& attempt, core::wall_time at);
    void count_crash(const placed_attempt& attempt, core::wall_time now);
};

} // namespace cyclamen::rollout
