#include "limits/on_time_start.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamen::limits {

namespace {

double tokens_of(const start_request& request)
{
    return static_cast<double>(request.prompt_tokens + request.max_output_tokens);
}

/// @return requests that must end before one more fits into the memory or a slot
double requests_before(const start_request& request, const engine_load& load, double growth)
{
    double before = 0.0;
    if (load.memory_total > 0) {
        const double free = static_cast<double>(load.memory_total) -
                            static_cast<double>(load.memory_used) - load.running * growth;
        before = load.waiting + 1.0 - std::max(0.0, free) / tokens_of(request);
    }
    if (load.slots > 0) {
        before = std::max(before, load.waiting + load.running + 1.0 - load.slots);
    }
    return std::max(0.0, before);
}

void update_mean(double& mean, double value, double weight)
{
    mean = mean > 0.0 ? mean + weight * (value - mean) : value;
}

} // namespace

double on_time_start::reading_wait(const start_request& request, const engine_load& load) const
{
    const double mean_prompt = mean_prompt_tokens_ > 0.0
                                   ? mean_prompt_tokens_
                                   : static_cast<double>(request.prompt_tokens);
    const double unread =
        std::max(static_cast<double>(load.unread_tokens), load.waiting * mean_prompt);
    return unread * seconds_per_token(load);
}

double on_time_start::room_wait(const start_request& request, const engine_load& load) const
{
    const double growth =
        settings_.growth_fraction * static_cast<double>(request.max_output_tokens);
    const double run_seconds = run_seconds_ > 0.0 ? run_seconds_ : core::to_seconds(request.goal);
    return requests_before(request, load, growth) * run_seconds /
           std::max(1.0, static_cast<double>(load.running));
}

start_decision on_time_start::decide(const start_request& request, const engine_load& load) const
{
    const double goal = core::to_seconds(request.goal);
    const double reading = static_cast<double>(request.prompt_tokens) * seconds_per_token(load);
    const double left = settings_.goal_fraction * goal - core::to_seconds(request.waited) - reading;
    const double allowed = std::max(left, settings_.min_wait_fraction * goal);
    const double late_by = reading_wait(request, load) - allowed;
    // An engine starts a waiting request as soon as its prompt fits, and preempts it when the
    // running ones grow. So a request waits for room here, not there.
    const double without_room = room_wait(request, load);
    if (late_by <= 0.0 && without_room <= 0.0) {
        return start_decision{start_verdict::start, core::duration::zero()};
    }
    if (request.may_wait) {
        return start_decision{start_verdict::wait, core::duration::zero()};
    }
    return start_decision{start_verdict::refuse,
                          retry_after(request, std::max(late_by, without_room))};
}

core::duration on_time_start::retry_after(const start_request& request, double excess) const
{
    // The callers that are refused now come back one after the other.
    constexpr std::uint64_t steps = 1000;
    const double place = static_cast<double>(request.spread % steps) / static_cast<double>(steps);
    const double shortest = settings_.min_retry_fraction * core::to_seconds(request.goal);
    return std::min(core::from_seconds(std::max(excess, shortest) * (1.0 + place)),
                    settings_.max_retry_after);
}

bool on_time_start::has_room_for_copy(const start_request& request, const engine_load& load) const
{
    if (load.memory_total == 0) {
        return true;
    }
    const double expected =
        static_cast<double>(load.memory_used) + (load.waiting + 1.0) * tokens_of(request);
    return expected <= settings_.copy_memory_fraction * static_cast<double>(load.memory_total);
}

void on_time_start::on_first_event(const start_observation& seen)
{
    update_mean(mean_prompt_tokens_, static_cast<double>(seen.prompt_tokens), settings_.smoothing);
    // Only an engine that had nothing else to read shows how fast it reads.
    if (seen.prompt_tokens == 0 || seen.load.waiting > 0 || seen.load.unread_tokens > 0 ||
        seen.took <= core::duration::zero()) {
        return;
    }
    update_mean(seconds_per_prompt_token_,
                core::to_seconds(seen.took) /
                    (static_cast<double>(seen.prompt_tokens) * seen.load.pace),
                settings_.smoothing);
}

void on_time_start::on_finished(core::duration run_time)
{
    update_mean(run_seconds_, core::to_seconds(run_time), settings_.smoothing);
}

} // namespace cyclamen::limits
