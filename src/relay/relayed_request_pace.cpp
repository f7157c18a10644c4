#include "relay/relayed_request.hpp"

/// @file
/// What a request observes of the speed of its targets.

namespace cyclamen::relay {

namespace {

/// Lowest HTTP status of a response that may have been given without the work.
constexpr int first_refused_status = 400;

} // namespace

void relayed_request::report_pace(routing::pace_kind kind, std::uint32_t running, double seconds)
{
    const target_record& target = placed_->get().target;
    host_.on_pace(routing::pace_observation{plan_.service, target.name, target.started_at, kind,
                                            running, seconds});
}

void relayed_request::note_reading_pace()
{
    const limits::engine_load& load = start_load_->get();
    if (plan_.submitted.prompt_tokens > 0 && load.waiting == 0 && load.unread_tokens == 0) {
        report_pace(routing::pace_kind::reading, 0,
                    core::to_seconds(now_ - attempt_opened_at_) /
                        static_cast<double>(plan_.submitted.prompt_tokens));
    }
}

void relayed_request::note_stream_pace(std::uint32_t events)
{
    const auto taken = stream_pace_.add(events, now_);
    if (taken.has_value() && start_load_.has_value() && placed_.has_value()) {
        const limits::engine_load& load = start_load_->get();
        report_pace(routing::pace_kind::writing, load.running + load.waiting + 1,
                    core::to_seconds(*taken));
    }
}

void relayed_request::note_answer_pace(int status)
{
    if (!plan_.engine.has_value() && status < first_refused_status) {
        report_pace(routing::pace_kind::answering, 0, core::to_seconds(now_ - attempt_opened_at_));
    }
}

} // namespace cyclamen::relay
