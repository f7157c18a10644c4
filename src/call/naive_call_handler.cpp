#include "call/naive_call_handler.hpp"

#include <vector>

#include "core/error.hpp"

namespace cyclamen::call {

naive_call_handler::naive_call_handler(call_settings settings, routing::target_chooser& chooser,
                                       call_output& output)
    : settings_{settings}, chooser_{chooser}, output_{output}
{
}

void naive_call_handler::configure(model::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    chooser_.configure(configuration_);
}

void naive_call_handler::on_request(const api::call_request& request, core::instant now)
{
    last_id_ = last_id_.next();
    offer(last_id_, request, core::attempt_number{1}, now);
}

void naive_call_handler::offer(api::call_id id, const api::call_request& request,
                               core::attempt_number number, core::instant now)
{
    const model::service* service = configuration_->find_service(request.service);
    const auto version = service == nullptr ? core::version_name{} : service->version;
    const auto target =
        chooser_.choose(routing::placement_request{request.service, version, {}, {}, false}, now);
    if (!target.ok() || number.value() > settings_.most_attempts) {
        output_.send(api::call_failed{
            request.caller,
            core::to_failure(core::make_error(core::error_kind::unavailable,
                                              "no target answered the call", "retry later"),
                             true)});
        return;
    }
    chooser_.on_opened(target->name, now);
    attempts_.emplace(id,
                      open_attempt{request, number, target->name, now + settings_.answer_limit});
    output_.send(api::open_call{{id, number},
                                target->address,
                                request.method,
                                request.path,
                                request.headers,
                                request.body});
}

void naive_call_handler::retry(api::call_id id, core::instant now)
{
    const auto lost = attempts_.extract(id);
    const open_attempt& attempt = lost.mapped();
    chooser_.on_lost(attempt.target, now);
    offer(id, attempt.request, attempt.number.next(), now);
}

void naive_call_handler::on_caller_gone(core::caller_id /*caller*/, core::instant /*now*/) {}

void naive_call_handler::on_service_event(const api::service_event& event, core::instant now)
{
    const api::call_attempt event_attempt =
        std::visit([](const auto& each) { return each.attempt; }, event);
    const auto found = attempts_.find(event_attempt.call);
    if (found == attempts_.end() || found->second.number != event_attempt.number) {
        return;
    }
    if (const auto* answered = std::get_if<api::call_answered>(&event)) {
        chooser_.on_finished(found->second.target, now);
        output_.send(api::call_answer{found->second.request.caller, answered->response});
        attempts_.erase(found);
    }
    else if (std::holds_alternative<api::call_lost>(event)) {
        retry(event_attempt.call, now);
    }
}

void naive_call_handler::on_timer(core::instant now)
{
    std::vector<api::call_id> overdue;
    for (const auto& [id, attempt] : attempts_) {
        if (attempt.deadline <= now) {
            overdue.push_back(id);
        }
    }
    for (const api::call_id id : overdue) {
        retry(id, now);
    }
}

std::optional<core::instant> naive_call_handler::next_deadline() const
{
    std::optional<core::instant> next;
    for (const auto& [id, attempt] : attempts_) {
        next = std::min(next.value_or(attempt.deadline), attempt.deadline);
    }
    return next;
}

} // namespace cyclamen::call
