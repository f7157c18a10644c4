#include "rollout/evidence.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamen::rollout {

namespace {

constexpr double first_bound_seconds = 0.01;
constexpr double buckets_per_doubling = 2;

/// Raises a counter to a larger value.
/// @return the increase
std::uint64_t raise(std::uint64_t& counter, std::uint64_t value)
{
    const std::uint64_t before = counter;
    counter = std::max(counter, value);
    return counter - before;
}

api::tally to_tally(const cell_sum& sum)
{
    return {sum.attempts, sum.failures, sum.losses, sum.first_token};
}

} // namespace

api::window_number window_at(core::wall_time time)
{
    const auto windows = time.time_since_epoch() / window_length;
    return api::window_number{static_cast<std::uint64_t>(std::max<std::int64_t>(windows, 0))};
}

core::wall_time start_of(api::window_number window)
{
    const auto since_epoch = window_length * static_cast<std::int64_t>(window.value());
    return core::wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)};
}

std::size_t latency_bucket(core::duration latency)
{
    const double seconds = std::max(core::to_seconds(latency), first_bound_seconds);
    const double index = buckets_per_doubling * std::log2(seconds / first_bound_seconds);
    return std::min(static_cast<std::size_t>(index), api::latency_buckets - 1);
}

bool evidence::merge(const api::cell_count& reported)
{
    cell_sum& stored = counts_[{reported.cell, reported.origin}];
    cell_sum& sum = sums_[reported.cell];
    std::uint64_t growth = 0;
    const auto raise_total = [&](std::uint64_t& counter, std::uint64_t& total,
                                 std::uint64_t value) {
        const std::uint64_t increase = raise(counter, value);
        total += increase;
        growth += increase;
    };
    raise_total(stored.attempts, sum.attempts, reported.count.attempts);
    raise_total(stored.failures, sum.failures, reported.count.failures);
    raise_total(stored.losses, sum.losses, reported.count.losses);
    for (std::size_t i = 0; i < api::latency_buckets; ++i) {
        raise_total(stored.first_token.at(i), sum.first_token.at(i),
                    reported.count.first_token.at(i));
    }
    if (reported.cell.arm == api::rollout_arm::to && reported.count.attempts > 0) {
        const std::uint64_t window = reported.cell.window.value();
        const auto [first, added] = first_windows_.emplace(reported.cell.rollout, window);
        first->second = std::min(first->second, window);
    }
    return growth > 0;
}

bool evidence::merge(const api::target_count& reported)
{
    const auto [stored, added] = targets_.try_emplace(reported.cell);
    const std::uint64_t growth = raise(stored->second.crashes, reported.crashes) +
                                 raise(stored->second.excused, reported.excused);
    return growth > 0 || added;
}

std::optional<api::window_number> evidence::first_window(const model::rollout_key& rollout) const
{
    const auto found = first_windows_.find(rollout);
    if (found == first_windows_.end()) {
        return std::nullopt;
    }
    return api::window_number{found->second};
}

api::rollout_gossip evidence::since(api::window_number oldest) const
{
    std::vector<api::cell_count> cells;
    for (const auto& [key, count] : counts_) {
        if (key.first.window >= oldest) {
            cells.push_back({key.second, key.first, to_tally(count)});
        }
    }
    std::vector<api::target_count> targets;
    for (const auto& [cell, sum] : targets_) {
        if (cell.window >= oldest) {
            targets.push_back({cell, sum.crashes, sum.excused});
        }
    }
    return {std::move(cells), std::move(targets), {}};
}

} // namespace cyclamen::rollout
