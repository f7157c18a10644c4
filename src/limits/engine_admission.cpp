#include "limits/engine_admission.hpp"

namespace cyclamen::limits {

start_decision engine_admission::decide(const core::service_name& service, std::uint64_t number,
                                        const start_request& request, const engine_load& load,
                                        core::instant now)
{
    if (request.urgency.has_value()) {
        return decide_in_order(service, number, request, load, now);
    }
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

start_decision engine_admission::decide_in_order(const core::service_name& service,
                                                 std::uint64_t number, const start_request& request,
                                                 const engine_load& load, core::instant now)
{
    const waiting_place place{
        *request.urgency,
        now - request.waited + core::fraction_of(request.goal, settings_.wait_fraction), number};
    waiting_line& line = lines_.try_emplace(service, settings_.max_waiting).first->second;
    start_policy& policy = policy_of(service);
    policy.on_asked(request, load);
    core::duration room_after{};
    if (line.is_first(place, now)) {
        const start_decision decision = policy.decide(
            start_request{request.prompt_tokens, request.max_output_tokens, request.goal,
                          request.waited, false, request.spread, request.urgency},
            load);
        if (decision.verdict == start_verdict::start) {
            line.remove(number);
            returns_[service].on_started(now);
            return decision;
        }
        room_after = decision.retry_after;
    }
    if (now < place.latest_start && line.add(place)) {
        return start_decision{start_verdict::wait, core::duration::zero()};
    }
    line.remove(number);
    return start_decision{start_verdict::refuse,
                          returns_[service].assign(*request.urgency, room_after, now)};
}

void engine_admission::on_arrival(const core::service_name& service, const start_request& request)
{
    policy_of(service).on_arrival(request);
}

waiting_state engine_admission::state_of(const core::service_name& service, std::uint64_t number,
                                         core::instant now) const
{
    const auto line = lines_.find(service);
    if (line == lines_.end()) {
        return waiting_state::first;
    }
    const waiting_place* place = line->second.find(number);
    if (place == nullptr || place->latest_start <= now) {
        return waiting_state::ended;
    }
    return line->second.is_first(*place, now) ? waiting_state::first : waiting_state::behind;
}

core::duration engine_admission::refuse(const core::service_name& service, std::uint64_t number,
                                        urgency_rank urgency, core::instant now)
{
    on_ended(service, number);
    return returns_[service].assign(urgency, core::duration::zero(), now);
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
    if (const auto line = lines_.find(service); line != lines_.end()) {
        line->second.remove(number);
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
