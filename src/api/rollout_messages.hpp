#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "model/label_set.hpp"
#include "model/rollout.hpp"

/// @file
/// Evidence about the two versions of a rollout, exchanged between instances. Counters only grow
/// and are merged by maximum, and the set of vetoes only grows, so messages may be lost, duplicated
/// or reordered.

namespace cyclamen::api {

/// Kind of request, such as `generations/stream`.
using route_name = core::name<struct route_name_tag>;
/// Number of a time window in which the two versions are compared.
using window_number = core::number<struct window_number_tag>;

/// One incarnation of an instance, which counts the outcomes of its own attempts.
struct evidence_origin {
    const core::instance_name instance;
    const core::incarnation incarnation;

    auto operator<=>(const evidence_origin&) const = default;
};

/// The two arms of the comparison: the old version and the new one.
enum class rollout_arm : std::uint8_t { from, to };

/// How the requests that a counter covers were distributed over the targets.
enum class cohort : std::uint8_t {
    /// Distributed over all targets of the version.
    spread,
    /// Concentrated on a few targets so that these run at full load.
    concentrated,
};

/// A group of comparable requests. Outcomes are compared only within a stratum.
struct stratum {
    const api::route_name route;
    const model::label_set labels;

    auto operator<=>(const stratum&) const = default;
};

/// Identifies what a counter counts, apart from its origin.
struct evidence_cell {
    const model::rollout_key rollout;
    const window_number window;
    const api::stratum stratum;
    const rollout_arm arm;
    const api::cohort cohort;

    auto operator<=>(const evidence_cell&) const = default;
};

/// Number of buckets of the latency histogram. Each bucket bound is sqrt(2) times the previous one.
constexpr std::size_t latency_buckets = 24;
using latency_histogram = std::array<std::uint64_t, latency_buckets>;

/// Outcomes that one origin counted in one cell.
struct tally {
    const std::uint64_t attempts;
    /// Attempts that the target answered with an error.
    const std::uint64_t failures;
    /// Attempts whose connection ended before the answer was complete.
    const std::uint64_t losses;
    /// Histogram of the time to the first token.
    const latency_histogram first_token;

    auto operator<=>(const tally&) const = default;

    /// @return the maximum of each counter
    [[nodiscard]] tally merged(const tally& other) const
    {
        latency_histogram larger{};
        std::transform(
            first_token.begin(), first_token.end(), other.first_token.begin(), larger.begin(),
            [](std::uint64_t left, std::uint64_t right) { return std::max(left, right); });
        return {std::max(attempts, other.attempts), std::max(failures, other.failures),
                std::max(losses, other.losses), larger};
    }
};

/// Identifies one target in one window.
struct target_cell {
    const model::rollout_key rollout;
    const window_number window;
    const rollout_arm arm;
    const core::target_name target;

    auto operator<=>(const target_cell&) const = default;
};

/// Counters of one origin in one cell.
struct cell_count {
    const evidence_origin origin;
    const evidence_cell cell;
    const tally count;

    auto operator<=>(const cell_count&) const = default;
};

/// Number of crashes of a target observed in a window. All instances observe the same crash, so the
/// counts of different origins are also merged by maximum.
struct target_count {
    const target_cell cell;
    const std::uint64_t crashes;
    /// Crashes that are not counted against the version: one request caused crashes of several
    /// targets.
    const std::uint64_t excused;

    auto operator<=>(const target_count&) const = default;
};

/// Why a version is vetoed.
enum class veto_reason : std::uint8_t { failures, latency, crashes, by_operator };

/// Rolls a version back. All vetoes of one rollout have the same effect, so an instance keeps the
/// first one that it receives.
struct veto {
    const model::rollout_key rollout;
    const veto_reason reason;
    /// Description of the evidence, for the report.
    const std::string evidence;
    const core::instance_name raised_by;
    const core::wall_time raised_at;

    auto operator<=>(const veto&) const = default;
};

/// One message about rollouts between instances.
struct rollout_gossip {
    const std::vector<cell_count> cells;
    const std::vector<target_count> targets;
    const std::vector<veto> vetoes;

    auto operator<=>(const rollout_gossip&) const = default;
};

} // namespace cyclamen::api
