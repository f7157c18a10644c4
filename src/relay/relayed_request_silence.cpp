#include <array>

#include "core/log.hpp"
#include "core/text.hpp"
#include "relay/relayed_request.hpp"

/// @file
/// What a request concludes from the answers of targets that it has asked: candidates, and a target
/// that has sent nothing for too long.

namespace cyclamen::relay {

namespace {

/// @return true if another incarnation answered than the listed one; the epoch means unknown
bool is_new_incarnation(const target_record& listed, const reported_load& answered)
{
    const core::wall_time unknown{};
    return answered.started_at != unknown && listed.started_at != unknown &&
           answered.started_at != listed.started_at;
}

} // namespace

void relayed_request::on(const target_reached& report, core::instant now)
{
    if (placed_.has_value() && placed_->get().target.name == report.target) {
        raise(request_event::target_reached, now);
    }
}

void relayed_request::on(const target_answered& answer, core::instant now)
{
    if (placed_.has_value()) {
        if (placed_->get().target.name == answer.target) {
            now_ = now;
            raise(interpret(answer), now);
        }
        return;
    }
    const auto asked = pending_candidates_.find(answer.target);
    if (asked == pending_candidates_.end()) {
        return;
    }
    const target_record listed = asked->second;
    pending_candidates_.erase(asked);
    if (answer.load.has_value() && is_new_incarnation(listed, *answer.load)) {
        tried_.insert(answer.target);
        host_.on_misdirected(listed);
    }
    else if (answer.load.has_value() && answer.load->leaving) {
        tried_.insert(answer.target);
    }
    else if (answer.load.has_value()) {
        loads_.emplace(answer.target, *answer.load);
    }
    else {
        tried_.insert(answer.target);
        host_.on_loss(answer.target);
    }
    raise(request_event::load_heard, now);
}

request_event relayed_request::interpret(const target_answered& answer) const
{
    if (!answer.load.has_value()) {
        return request_event::target_mute;
    }
    const silence_evidence evidence{core::parse_number<std::uint64_t>(last_event_.value_or("0")),
                                    attempt_first_event_at_.has_value()
                                        ? std::optional{now_ - *attempt_first_event_at_}
                                        : std::nullopt,
                                    is_new_incarnation(placed_->get().target, *answer.load),
                                    answer.load->waiting,
                                    answer.progress,
                                    now_ - asked_at_};
    record_answering_target(evidence);
    return host_.silences().explain(evidence) == silence_cause::lost_channel
               ? request_event::channel_lost
               : request_event::target_alive;
}

void relayed_request::record_mute_target() const
{
    core::log_event(core::log_level::info, "target_mute",
                    {{"request", plan_.submitted.content->id},
                     {"attempt", attempt_.value()},
                     {"target", placed_->get().target.name.str()},
                     {"runs", runs_},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)}});
}

void relayed_request::record_answering_target(const silence_evidence& evidence) const
{
    constexpr std::array listings{"unknown", "absent", "present"};
    core::log_event(core::log_level::info, "target_alive",
                    {{"request", plan_.submitted.content->id},
                     {"attempt", attempt_.value()},
                     {"target", placed_->get().target.name.str()},
                     {"new_incarnation", evidence.is_new_incarnation},
                     {"waiting", evidence.waiting},
                     {"run", listings.at(static_cast<std::size_t>(evidence.progress.listing))},
                     {"events_made", evidence.progress.events_made},
                     {"answered_ms", core::to_milliseconds(evidence.answer_delay)},
                     {"last_event", last_event_.value_or("none")},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)}});
}

} // namespace cyclamen::relay
