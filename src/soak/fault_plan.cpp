#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cyclamen::soak {

namespace {

/// Time at the end in which nothing new is done, so that every request can end.
constexpr core::duration calm_end = std::chrono::seconds{3};
/// Longest pause between the begins of two faults.
constexpr std::int64_t longest_pause_ms = 900;
constexpr std::int64_t shortest_fault_ms = 100;
constexpr std::int64_t longest_fault_ms = 2500;

} // namespace

std::string_view to_text(fault_kind kind)
{
    constexpr std::array<std::string_view, fault_kinds> names{
        "instance_killed", "instance_paused", "instance_stopped", "instance_reloaded",
        "store_delayed",   "store_reset",     "store_cut",        "store_one_way",
        "runner_delayed",  "runner_reset",    "runner_cut",       "runner_one_way",
        "store_silent",    "store_down",      "store_busy",       "store_losing",
        "store_slow",      "history_dropped", "runner_killed",    "runner_dark",
        "runner_leaving",  "runner_shedding", "runner_failing",   "runner_losing",
        "runner_cutting",  "runner_mixing",   "runner_garbling",  "runner_ambiguous",
        "configured"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> plan_faults(std::uint64_t seed, core::duration length)
{
    std::mt19937_64 draw{seed};
    const auto between = [&](std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(draw() % static_cast<std::uint64_t>(high - low + 1));
    };
    std::vector<planned_fault> plan;
    core::duration at = std::chrono::milliseconds{between(0, longest_pause_ms)};
    while (at < length - calm_end) {
        const auto kind = static_cast<fault_kind>(draw() % fault_kinds);
        const auto subject = static_cast<std::uint32_t>(draw());
        const core::duration lasts = std::min<core::duration>(
            std::chrono::milliseconds{between(shortest_fault_ms, longest_fault_ms)},
            length - calm_end - at);
        plan.push_back(planned_fault{at, kind, subject, lasts});
        at += std::chrono::milliseconds{between(0, longest_pause_ms)};
    }
    return plan;
}

} // namespace cyclamen::soak
