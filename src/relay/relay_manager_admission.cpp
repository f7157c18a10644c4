#include "core/hash.hpp"
#include "relay/relay_manager.hpp"

/// @file
/// Admission of new requests to engines.

namespace cyclamen::relay {

limits::start_request relay_manager::start_request_of(const request_plan& plan) const
{
    const core::duration waited = now_ - plan.accepted;
    const core::duration max_wait = core::fraction_of(plan.matched_route.answer_goal,
                                                      settings_.requests.placement_wait_fraction);
    return limits::start_request{plan.submitted.prompt_tokens,
                                 plan.submitted.max_output_tokens,
                                 plan.matched_route.answer_goal,
                                 waited,
                                 waited < max_wait,
                                 core::hash_of(plan.submitted.content->id),
                                 plan.urgency};
}

limits::engine_load relay_manager::load_of(const request_plan& plan,
                                           const core::target_name& target,
                                           const reported_load& load) const
{
    std::uint64_t yielding_tokens = 0;
    std::uint32_t yielding_runs = 0;
    std::uint64_t urgent_tokens = 0;
    for (const runs_of_urgency& each : load.runs) {
        if (plan.urgency.has_value() && each.urgency > *plan.urgency) {
            yielding_tokens += each.tokens;
            yielding_runs += each.count;
        }
        else if (plan.urgency.has_value() && each.urgency < *plan.urgency) {
            urgent_tokens += each.tokens;
        }
    }
    return limits::engine_load{load.waiting,
                               load.running,
                               targets_.work_on(target).unread_tokens,
                               load.memory_used,
                               load.memory_total > 0 ? load.memory_total
                                                     : plan.engine->memory_tokens,
                               plan.engine->slots,
                               yielding_tokens,
                               yielding_runs,
                               urgent_tokens,
                               targets_.pace_of(target, now_)};
}

limits::start_decision relay_manager::admit(const request_plan& plan,
                                            const limits::engine_load& load)
{
    return admission_.decide(plan.service, plan.number.value(), start_request_of(plan), load, now_);
}

void relay_manager::on_arrival(const request_plan& plan)
{
    if (plan.engine.has_value() && plan.urgency.has_value()) {
        admission_.on_arrival(plan.service, start_request_of(plan));
    }
}

limits::waiting_state relay_manager::waiting_state_of(const request_plan& plan) const
{
    return plan.urgency.has_value() ? admission_.state_of(plan.service, plan.number.value(), now_)
                                    : limits::waiting_state::first;
}

core::duration relay_manager::end_waiting(const request_plan& plan)
{
    return admission_.refuse(plan.service, plan.number.value(),
                             plan.urgency.value_or(limits::urgency_count - 1), now_);
}

void relay_manager::on_placed(const request_plan& plan)
{
    admission_.on_ended(plan.service, plan.number.value());
}

bool relay_manager::has_room_for_copy(const request_plan& plan, const limits::engine_load& load)
{
    return admission_.has_room_for_copy(plan.service, start_request_of(plan), load);
}

void relay_manager::on_started(const request_plan& plan, const limits::engine_load& load,
                               core::duration took)
{
    admission_.on_first_event(plan.service,
                              limits::start_observation{plan.submitted.prompt_tokens, load, took});
}

void relay_manager::on_run_finished(const request_plan& plan, core::duration run_time)
{
    admission_.on_finished(plan.service, run_time);
}

} // namespace cyclamen::relay
