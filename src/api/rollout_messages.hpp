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
/// What instances tell each other about the two versions of a rollout. Counters only grow and are
/// merged by maximum; the set of vetoes only grows. So messages may be lost, repeated or reordered.

namespace cyclamen::api {

/// Names the kind of request, such as `generations/stream`.
using route_name = core::name<struct route_name_tag>;
/// Numbers the time windows in which two versions are compared.
using window_number = core::number<struct window_number_tag>;

/// One life of an instance, which counts its own outcomes.
struct evidence_origin {
    const core::instance_name instance;
    const core::incarnation incarnation;

    auto operator<=>(const evidence_origin&) const = default;
};

/// The two sides of a comparison.
enum class rollout_arm : std::uint8_t { from, to };

/// How the requests of a counter were placed.
enum class cohort : std::uint8_t {
    /// Spread over all targets of the version.
    spread,
    /// Sent to few targets at once, so that these run at full load.
    concentrated,
};

/// Requests that are compared with each other.
struct stratum {
    const api::route_name route;
    const model::label_set labels;

    auto operator<=>(const stratum&) const = default;
};

/// What one counter counts, but for its origin.
struct evidence_cell {
    const model::rollout_key rollout;
    const window_number window;
    const api::stratum stratum;
    const rollout_arm arm;
    const api::cohort cohort;

    auto operator<=>(const evidence_cell&) const = default;
};

/// Buckets of the latency histogram; each bound is sqrt(2) times the one before.
constexpr std::size_t latency_buckets = 24;
using latency_histogram = std::array<std::uint64_t, latency_buckets>;

/// Outcomes of one origin in one cell.
struct tally {
    const std::uint64_t attempts;
    /// Attempts that the target answered with an error.
    const std::uint64_t failures;
    /// Attempts whose connection ended early.
    const std::uint64_t losses;
    /// Time to the first token.
    const latency_histogram first_token;

    auto operator<=>(const tally&) const = default;

    /// @return the larger of each counter
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

/// One target during one window.
struct target_cell {
    const model::rollout_key rollout;
    const window_number window;
    const rollout_arm arm;
    const core::target_name target;

    auto operator<=>(const target_cell&) const = default;
};

/// A counter of one origin.
struct cell_count {
    const evidence_origin origin;
    const evidence_cell cell;
    const tally count;

    auto operator<=>(const cell_count&) const = default;
};

/// How often a target was seen to crash in a window. All instances see the same crash, so counts of
/// different origins are merged by maximum too.
struct target_count {
    const target_cell cell;
    const std::uint64_t crashes;
    /// Crashes that one request brought about on several targets.
    const std::uint64_t excused;

    auto operator<=>(const target_count&) const = default;
};

/// Why a version may not be used.
enum class veto_reason : std::uint8_t { failures, latency, crashes, by_operator };

/// Takes a version back. The first one heard is kept; all vetoes of one key mean the same.
struct veto {
    const model::rollout_key rollout;
    const veto_reason reason;
    /// The evidence in words, for the report.
    const std::string evidence;
    const core::instance_name raised_by;
    const core::wall_time raised_at;

    auto operator<=>(const veto&) const = default;
};

/// What one instance tells another in one message.
struct rollout_gossip {
    const std::vector<cell_count> cells;
    const std::vector<target_count> targets;
    const std::vector<veto> vetoes;

    auto operator<=>(const rollout_gossip&) const = default;
};

} // namespace cyclamen::api
