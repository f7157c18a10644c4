/// @file
/// Admission of new generations by the generation manager.

#include "generation/generation_manager.hpp"

namespace cyclamen::generation {

bool generation_manager::refuse_by_admission(const api::generation_request& request,
                                             const model::client_account& account)
{
    offered_id_ = last_id_.next();
    const auto refused =
        admission_->offer(limits::admission_request{offered_id_, account.name, request.service,
                                                    request.max_tokens, now_ + request.timeout},
                          now_);
    if (refused.has_value()) {
        offered_id_ = core::generation_id{};
        outcomes_.on_refused(account.name, request.service, now_);
        output_.send(api::front_command{api::answer_failed{request.caller, *refused}});
    }
    return refused.has_value();
}

void generation_manager::start_admitted()
{
    const limits::admission_result admitted = admission_->release(now_);
    for (const core::generation_id id : admitted.started) {
        placement_queue_.add_arrival(id);
    }
    for (const limits::late_refusal& each : admitted.refused) {
        if (generation* refused = find(each.id)) {
            outcomes_.on_refused(refused->plan().account, refused->plan().service, now_);
            refused->on_refused(each.reason);
            retire_if_over(*refused);
        }
    }
}

} // namespace cyclamen::generation
