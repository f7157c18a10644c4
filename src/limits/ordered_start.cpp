#include "limits/ordered_start.hpp"

#include <algorithm>
#include <numeric>

namespace cyclamen::limits {

namespace {

void update_mean(double& mean, double value, double weight)
{
    mean += weight * (value - mean);
}

engine_load with_memory_used(const engine_load& load, std::uint64_t memory_used)
{
    return engine_load{load.waiting,       load.running, load.unread_tokens,   memory_used,
                       load.memory_total,  load.slots,   load.yielding_tokens, load.yielding_runs,
                       load.urgent_tokens, load.pace};
}

} // namespace

on_time_settings ordered_start::unspread(const on_time_settings& settings)
{
    // The return schedule spreads the callers; the decision only tells when there is room.
    return on_time_settings{
        settings.goal_fraction,   settings.min_wait_fraction, settings.copy_memory_fraction,
        settings.growth_fraction, settings.smoothing,         0.0,
        settings.max_retry_after};
}

start_decision ordered_start::decide(const start_request& request, const engine_load& load) const
{
    if (!request.urgency.has_value()) {
        return plain_.decide(request, load);
    }
    const engine_load before = load_before(request, load);
    const auto kept = static_cast<std::uint64_t>(reserve(request, load));
    return within_order_.decide(with_strictest_goal(request),
                                with_memory_used(before, before.memory_used + kept));
}

bool ordered_start::has_room_for_copy(const start_request& request, const engine_load& load) const
{
    return plain_.has_room_for_copy(request, load);
}

double ordered_start::share_before(urgency_rank urgency) const
{
    return std::accumulate(shares_.begin(), shares_.begin() + urgency, 0.0);
}

start_request ordered_start::with_strictest_goal(const start_request& request) const
{
    core::duration goal = request.goal;
    for (urgency_rank each = 0; each < *request.urgency; ++each) {
        if (goals_[each] > core::duration::zero()) {
            goal = std::min(goal, goals_[each]);
        }
    }
    // It can wait for the rest of its own goal before it is placed.
    const core::duration spare = request.goal - goal;
    return start_request{request.prompt_tokens,
                         request.max_output_tokens,
                         goal,
                         std::max(request.waited - spare, core::duration::zero()),
                         request.may_wait,
                         0,
                         request.urgency};
}

engine_load ordered_start::load_before(const start_request& request, const engine_load& load) const
{
    // Reports don't tell the urgency of requests without an event: the usual mix is assumed.
    const double known = share_before(urgency_count);
    const double counted = known > 0.0 ? share_before(*request.urgency + 1) / known : 1.0;
    // What less urgent kinds may use in any case doesn't yield.
    const double kept =
        settings_.min_share * (1.0 - counted) * static_cast<double>(load.memory_total);
    const double yielding = static_cast<double>(load.yielding_tokens);
    const bool yields =
        yielding > kept &&
        request.waited >= core::fraction_of(request.goal, settings_.yield_after_fraction);
    const double part = yields ? (yielding - kept) / yielding : 0.0;
    const auto tokens = static_cast<std::uint64_t>(part * yielding);
    const auto runs = static_cast<std::uint32_t>(part * load.yielding_runs);
    return engine_load{
        static_cast<std::uint32_t>(counted * load.waiting + 0.5),
        load.running - std::min(load.running, runs),
        static_cast<std::uint64_t>(counted * static_cast<double>(load.unread_tokens)),
        load.memory_used - std::min(load.memory_used, tokens),
        load.memory_total,
        load.slots,
        load.yielding_tokens - tokens,
        load.yielding_runs - runs,
        load.urgent_tokens,
        load.pace};
}

double ordered_start::reserve(const start_request& request, const engine_load& load) const
{
    const double before = share_before(*request.urgency);
    const double most = std::max(before, 1.0 - settings_.min_share * (1.0 - before));
    const double wanted = std::min(1.0, scarcity_ / settings_.full_scarcity) * most;
    return before > 0.0 ? std::max(0.0, wanted * static_cast<double>(load.memory_total) -
                                            static_cast<double>(load.urgent_tokens))
                        : 0.0;
}

void ordered_start::on_arrival(const start_request& request)
{
    if (!request.urgency.has_value()) {
        return;
    }
    const bool is_first = share_before(urgency_count) == 0.0;
    for (urgency_rank each = 0; each < urgency_count; ++each) {
        update_mean(shares_[each], each == *request.urgency ? 1.0 : 0.0,
                    is_first ? 1.0 : settings_.smoothing);
    }
    core::duration& goal = goals_[*request.urgency];
    goal = goal == core::duration::zero() ? request.goal : std::min(goal, request.goal);
}

void ordered_start::on_asked(const start_request& request, const engine_load& load)
{
    if (request.urgency.has_value()) {
        // The memory that is kept free is no scarcity.
        const start_decision unreserved =
            within_order_.decide(with_strictest_goal(request), load_before(request, load));
        update_mean(scarcity_, unreserved.verdict == start_verdict::start ? 0.0 : 1.0,
                    settings_.smoothing);
    }
}

void ordered_start::on_first_event(const start_observation& seen)
{
    plain_.on_first_event(seen);
    within_order_.on_first_event(seen);
}

void ordered_start::on_finished(core::duration run_time)
{
    plain_.on_finished(run_time);
    within_order_.on_finished(run_time);
}

} // namespace cyclamen::limits
