#include "core/log.hpp"
#include "relay/relayed_request.hpp"

/// @file
/// Calls to plain services that wait for their turn.

namespace cyclamen::relay {

request_event relayed_request::take_turn()
{
    const auto turn = host_.turn_of(plan_, make_query());
    if (!turn.has_value()) {
        return missing_target_event();
    }
    if (turn->verdict == limits::send_verdict::send) {
        placed_.emplace(*turn->placed);
        return request_event::target_found;
    }
    overload_retry_after_ = turn->retry_after;
    if (turn->verdict == limits::send_verdict::refuse) {
        return request_event::shares_exhausted;
    }
    turn_at_ = turn->ask_at;
    host_.on_attempt_ended(plan_, "call_waits");
    core::log_event(core::log_level::debug, "call_waits",
                    {{"request", plan_.submitted.content->id},
                     {"service", plan_.service.str()},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)}});
    return request_event::turn_missing;
}

void relayed_request::refuse_without_share()
{
    host_.on_attempt_ended(plan_, "call_refused");
    core::log_event(core::log_level::info, "call_refused",
                    {{"request", plan_.submitted.content->id},
                     {"service", plan_.service.str()},
                     {"rejections", rejections_},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)},
                     {"retry_after_ms", core::to_milliseconds(overload_retry_after_)}});
    refuse(core::error_kind::overloaded, "the service's targets are full", true,
           overload_retry_after_);
}

} // namespace cyclamen::relay
