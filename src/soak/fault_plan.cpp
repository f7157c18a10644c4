#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

namespace cyclamen::soak {

namespace {

/// Time without faults at the end of the traffic, so that every request can end.
constexpr core::duration fault_free_end = std::chrono::seconds{3};
/// Longest pause between the starts of two faults.
constexpr std::int64_t max_pause_ms = 900;
constexpr std::int64_t min_fault_ms = 100;
constexpr std::int64_t max_fault_ms = 2500;
/// Number of the kinds that a plan draws from one stream of random numbers.
constexpr std::uint32_t mixed_kind_count = static_cast<std::uint32_t>(fault_kind::configured) + 1;
/// Longest time before the first restore of the store, and between two of them.
constexpr std::int64_t max_restore_pause_ms = 15'000;
/// Distinguishes the stream of the restores from the one of the other faults.
constexpr std::uint64_t restore_stream = 0x9e3779b97f4a7c15;

/// Longest time for which the process of a sound runner may be paused.
constexpr core::duration max_runner_pause = std::chrono::seconds{1};

/// Random whole numbers of one stream.
class number_stream {
  public:
    explicit number_stream(std::uint64_t seed) : random_{seed} {}

    std::uint64_t draw() { return random_(); }
    std::int64_t draw(std::int64_t min, std::int64_t max)
    {
        return min + static_cast<std::int64_t>(draw() % static_cast<std::uint64_t>(max - min + 1));
    }
    core::duration draw_length(core::duration limit)
    {
        return std::min<core::duration>(std::chrono::milliseconds{draw(min_fault_ms, max_fault_ms)},
                                        limit);
    }

  private:
    std::mt19937_64 random_;
};

/// Faults of all kinds but restores.
std::vector<planned_fault> plan_mixed_faults(std::uint64_t seed, core::duration end)
{
    number_stream random{seed};
    std::vector<planned_fault> plan;
    core::duration at = std::chrono::milliseconds{random.draw(0, max_pause_ms)};
    while (at < end) {
        const auto kind = static_cast<fault_kind>(random.draw() % mixed_kind_count);
        const auto subject = static_cast<std::uint32_t>(random.draw());
        const core::duration length = random.draw_length(end - at);
        plan.push_back(planned_fault{at, kind, subject, length});
        at += std::chrono::milliseconds{random.draw(0, max_pause_ms)};
    }
    return plan;
}

/// Restores have a stream of their own, so that a seed keeps its other faults.
std::vector<planned_fault> plan_restores(std::uint64_t seed, core::duration end)
{
    number_stream random{seed ^ restore_stream};
    std::vector<planned_fault> plan;
    core::duration at = std::chrono::milliseconds{random.draw(0, max_restore_pause_ms)};
    while (at < end) {
        const auto subject = static_cast<std::uint32_t>(random.draw());
        const core::duration length = random.draw_length(end - at);
        plan.push_back(planned_fault{at, fault_kind::store_restored, subject, length});
        at += length + std::chrono::milliseconds{random.draw(0, max_restore_pause_ms)};
    }
    return plan;
}

} // namespace

std::string_view to_text(fault_kind kind)
{
    constexpr std::array<std::string_view, fault_kind_count> names{"instance_killed",
                                                                   "instance_paused",
                                                                   "instance_stopped",
                                                                   "instance_reloaded",
                                                                   "store_delayed",
                                                                   "store_reset",
                                                                   "store_cut",
                                                                   "store_one_way",
                                                                   "runner_delayed",
                                                                   "runner_reset",
                                                                   "runner_cut",
                                                                   "runner_one_way",
                                                                   "store_silent",
                                                                   "store_down",
                                                                   "store_busy",
                                                                   "store_losing",
                                                                   "store_slow",
                                                                   "history_dropped",
                                                                   "runner_killed",
                                                                   "runner_dark",
                                                                   "runner_leaving",
                                                                   "runner_shedding",
                                                                   "runner_failing",
                                                                   "runner_losing",
                                                                   "runner_cutting",
                                                                   "runner_mixing",
                                                                   "runner_garbling",
                                                                   "runner_ambiguous",
                                                                   "configured",
                                                                   "store_restored",
                                                                   "runner_channels_silent",
                                                                   "runner_paused"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> plan_faults(std::uint64_t seed, core::duration length)
{
    const core::duration end = length - fault_free_end;
    const std::vector<planned_fault> mixed = plan_mixed_faults(seed, end);
    const std::vector<planned_fault> restores = plan_restores(seed, end);
    std::vector<planned_fault> plan;
    std::merge(mixed.begin(), mixed.end(), restores.begin(), restores.end(),
               std::back_inserter(plan),
               [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return plan;
}

std::vector<planned_fault> plan_silences(std::uint64_t seed, core::duration length)
{
    constexpr std::array kinds{fault_kind::runner_channels_silent, fault_kind::runner_paused,
                               fault_kind::runner_paused, fault_kind::configured,
                               fault_kind::instance_reloaded};
    const core::duration end = length - fault_free_end;
    number_stream random{seed};
    std::vector<planned_fault> plan;
    core::duration at = std::chrono::milliseconds{random.draw(0, max_pause_ms)};
    while (at < end) {
        const fault_kind kind = kinds.at(random.draw() % kinds.size());
        const auto subject = static_cast<std::uint32_t>(random.draw());
        const core::duration drawn = random.draw_length(end - at);
        plan.push_back(planned_fault{at, kind, subject, std::min(drawn, max_runner_pause)});
        at += std::chrono::milliseconds{random.draw(0, max_pause_ms)};
    }
    return plan;
}

} // namespace cyclamen::soak
