#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cyclamen::soak {

namespace {

/// Time without faults at the end of the traffic, so that every request can end.
constexpr core::duration fault_free_end = std::chrono::seconds{3};
/// Longest pause between the starts of two faults.
constexpr std::int64_t max_pause_ms = 900;
constexpr std::int64_t min_fault_ms = 100;
constexpr std::int64_t max_fault_ms = 2500;

} // namespace

std::string_view to_text(fault_kind kind)
{
    constexpr std::array<std::string_view, fault_kind_count> names{
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
    std::mt19937_64 random{seed};
    const auto uniform = [&](std::int64_t min, std::int64_t max) {
        return min +
               static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(max - min + 1));
    };
    std::vector<planned_fault> plan;
    core::duration at = std::chrono::milliseconds{uniform(0, max_pause_ms)};
    while (at < length - fault_free_end) {
        const auto kind = static_cast<fault_kind>(random() % fault_kind_count);
        const auto subject = static_cast<std::uint32_t>(random());
        const core::duration fault_length =
            std::min<core::duration>(std::chrono::milliseconds{uniform(min_fault_ms, max_fault_ms)},
                                     length - fault_free_end - at);
        plan.push_back(planned_fault{at, kind, subject, fault_length});
        at += std::chrono::milliseconds{uniform(0, max_pause_ms)};
    }
    return plan;
}

} // namespace cyclamen::soak
