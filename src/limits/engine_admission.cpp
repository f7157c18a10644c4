#include "limits/engine_admission.hpp"

namespace cyclamen::limits {

start_decision engine_admission::decide(const core::service_name& service, std::uint64_t number,
                                        const start_request& request, const engine_load& load)
{
    const auto waiting = waiting_.find(service);
    const bool place_free = waiting == waiting_.end() || waiting->second == number;
    const start_decision decision = policy_of(service).decide(
        start_request{request.prompt_tokens, request.max_output_tokens, request.goal,
                      request.waited, request.may_wait && place_free, request.spread},
        load);
    if (decision.verdict == start_verdict::wait) {
        waiting_.insert_or_assign(service, number);
    }
    else {
        on_ended(service, number);
    }
    return decision;
}

bool engine_admission::has_room_for_copy(const core::service_name& service,
                                         const start_request& request, const engine_load& load)
{
    return policy_of(service).has_room_for_copy(request, load);
}

void engine_admission::on_first_event(const core::service_name& service,
                                      const start_observation& seen)
{
    policy_of(service).on_first_event(seen);
}

void engine_admission::on_finished(const core::service_name& service, core::duration run_time)
{
    policy_of(service).on_finished(run_time);
}

void engine_admission::on_ended(const core::service_name& service, std::uint64_t number)
{
    const auto waiting = waiting_.find(service);
    if (waiting != waiting_.end() && waiting->second == number) {
        waiting_.erase(waiting);
    }
}

start_policy& engine_admission::policy_of(const core::service_name& service)
{
    std::unique_ptr<start_policy>& policy = policies_[service];
    if (policy == nullptr) {
        policy = make_policy_();
    }
    return *policy;
}

} // namespace cyclamen::limits
