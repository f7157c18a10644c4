#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "api/rollout_messages.hpp"

namespace cyclamen::rollout {

/// Length of the windows in which two versions are compared.
constexpr core::duration window_length = std::chrono::seconds{60};

/// @return the window that contains the time
[[nodiscard]] api::window_number window_at(core::wall_time time);

/// @return the first instant of a window
[[nodiscard]] core::wall_time start_of(api::window_number window);

/// @param latency time to the first token
/// @return index of its bucket in a latency histogram
[[nodiscard]] std::size_t latency_bucket(core::duration latency);

/// Counters of one cell, summed over all origins.
struct cell_sum {
    std::uint64_t attempts = 0;
    std::uint64_t failures = 0;
    std::uint64_t losses = 0;
    api::latency_histogram first_token{};

    auto operator<=>(const cell_sum&) const = default;
};

/// Number of crashes of one target in one window.
struct crash_sum {
    std::uint64_t crashes = 0;
    std::uint64_t excused = 0;

    auto operator<=>(const crash_sum&) const = default;

    /// @return crashes that count against the version
    [[nodiscard]] std::uint64_t blamed() const { return crashes - std::min(crashes, excused); }
};

/// Merged outcome counters of an instance and its peers. The result depends only on the set of
/// counters that were merged, not on their order or on repetitions.
class evidence {
  public:
    /// Merges a counter by maximum.
    /// @return true if anything changed
    bool merge(const api::cell_count& reported);

    /// Merges the crash counts of a target by maximum.
    /// @return true if anything changed
    bool merge(const api::target_count& reported);

    /// @return sums over all origins, ordered by rollout and window
    [[nodiscard]] const std::map<api::evidence_cell, cell_sum>& cells() const { return sums_; }

    /// @return crashes of targets, ordered by rollout and window
    [[nodiscard]] const std::map<api::target_cell, crash_sum>& targets() const { return targets_; }

    /// @param rollout key of one start of a rollout
    /// @return the first window with requests on its new version, empty if there is none
    [[nodiscard]] std::optional<api::window_number>
    first_window(const model::rollout_key& rollout) const;

    /// @param oldest first window to list
    /// @return all counters of this and later windows, as a message to peers
    [[nodiscard]] api::rollout_gossip since(api::window_number oldest) const;

    bool operator==(const evidence&) const = default;

  private:
    using origin_key = std::pair<api::evidence_cell, api::evidence_origin>;

    std::map<origin_key, cell_sum> counts_;
    std::map<api::evidence_cell, cell_sum> sums_;
    std::map<api::target_cell, crash_sum> targets_;
    std::map<model::rollout_key, std::uint64_t> first_windows_;
};

} // namespace cyclamen::rollout
