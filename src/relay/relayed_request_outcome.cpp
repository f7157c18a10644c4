#include <algorithm>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "relay/relayed_request.hpp"

/// @file
/// What a request reports of its attempts, how it is refused, and how it ends.

namespace cyclamen::relay {

void relayed_request::check_slow(const core::version_name& version, core::duration limit,
                                 core::instant now)
{
    now_ = now;
    if (placed_.has_value() && placed_->get().target.version == version && !attempt_has_events_ &&
        now - attempt_opened_at_ > limit) {
        report_outcome(true);
    }
}

void relayed_request::report_outcome(bool failed)
{
    // An attempt that resumes from a copy is faster than any other.
    if (!outcome_reported_ && !placed_->get().from_copy) {
        outcome_reported_ = true;
        host_.on_attempt_outcome(plan_, placed_->get().target, now_ - attempt_opened_at_, failed);
    }
}

void relayed_request::note_progress()
{
    if (begun_at_.has_value() && now_ - *begun_at_ >= settings_.crash_window) {
        note_survived();
    }
}

void relayed_request::note_survived()
{
    if (!survived_) {
        survived_ = true;
        host_.on_survived(plan_);
    }
}

std::optional<attempt_stage> relayed_request::suspicious_stage() const
{
    if (survived_ || !attempt_sent_ || plan_.traits.empty()) {
        return std::nullopt;
    }
    if (!begun_at_.has_value()) {
        return attempt_stage::sent;
    }
    return now_ - *begun_at_ < settings_.crash_window ? std::optional{attempt_stage::begun}
                                                      : std::nullopt;
}

bool relayed_request::is_quarantined() const
{
    // A request that a target has run without a crash is none of those that crash each target.
    const bool is_untried = plan_.is_trial && runs_ == 0;
    return !survived_ && !is_untried && host_.quarantine_of(plan_).has_value();
}

void relayed_request::refuse_quarantined()
{
    refuse(core::error_kind::quarantined, quarantine_problem, true,
           host_.quarantine_of(plan_).value_or(settings_.retry_after));
}

void relayed_request::refuse_held()
{
    // The requests that are refused now come back one after the other.
    constexpr std::uint64_t steps = 1000;
    const double place = static_cast<double>(core::hash_of(plan_.submitted.content->id) % steps) /
                         static_cast<double>(steps);
    const core::duration wait =
        host_.time_to_return(plan_.service).value_or(core::duration::zero());
    refuse(core::error_kind::overloaded, "all targets want no requests for a while", true,
           wait + core::fraction_of(std::max(wait, settings_.retry_after), place));
}

void relayed_request::refuse_overloaded()
{
    refuse(core::error_kind::overloaded, "the engines can't answer within the route's goal", true,
           overload_retry_after_);
}

void relayed_request::refuse_waiting()
{
    const core::duration retry_after = host_.end_waiting(plan_);
    core::log_event(core::log_level::info, "waiting_ended",
                    {{"request", plan_.submitted.content->id},
                     {"urgency", urgency_text()},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)},
                     {"retry_after_ms", core::to_milliseconds(retry_after)}});
    refuse(core::error_kind::overloaded, "no engine had room for the request in time", true,
           retry_after);
}

void relayed_request::refuse(core::error_kind kind, std::string_view problem, bool not_run,
                             core::duration retry_after)
{
    host_.send(answer_refused{plan_.submitted.caller,
                              core::failure{kind, std::string{problem}, not_run, retry_after}});
    finish(not_run ? "refused" : "failed");
}

void relayed_request::record_attempt_end(std::string_view event)
{
    const placement& placed = placed_->get();
    host_.on_attempt_ended(plan_, event);
    tried_.insert(placed.target.name);
    lost_domain_ = placed.target.domain;
    // No standby has a copy of a request that has not started to run.
    const auto copy = attempt_has_events_ && protection_ != nullptr ? protection_->copy()
                                                                    : std::optional<run_copy>{};
    const bool has_copy = copy.has_value();
    copy_holder_ = has_copy ? std::optional{placed.standby->name} : std::nullopt;
    if (has_copy) {
        copy_.emplace(*copy);
    }
    core::log_event(
        core::log_level::info, event,
        {{"request", plan_.submitted.content->id},
         {"attempt", attempt_.value()},
         {"target", placed.target.name.str()},
         {"domain", placed.target.domain.str()},
         {"from_copy", placed.from_copy},
         {"copy_at", has_copy ? placed.standby->name.str() : "none"},
         {"last_event", last_event_.value_or("none")},
         {"after_ms", core::to_milliseconds(now_ - plan_.accepted)},
         {"may_have_crashed", event == "attempt_lost" && suspicious_stage().has_value()},
         {"answer_begun", begun_at_.has_value()},
         {"detail", loss_detail_}});
}

void relayed_request::record_abandonment() const
{
    core::log_event(core::log_level::info, "request_abandoned",
                    {{"request", plan_.submitted.content->id},
                     {"answer_begun", answer_begun_},
                     {"offers", offers_},
                     {"rejections", rejections_},
                     {"runs", runs_},
                     {"max_runs", plan_.matched_route.max_runs},
                     {"may_retry", host_.may_retry(plan_.service)},
                     {"quarantined", is_quarantined()},
                     {"last_loss", loss_detail_}});
}

void relayed_request::finish(std::string_view outcome)
{
    const auto held = protection_ == nullptr ? std::optional<run_copy>{} : protection_->held_copy();
    if (held.has_value()) {
        host_.send(free_copy{*held});
    }
    host_.on_ended(plan_, outcome);
    core::log_event(core::log_level::info, "request_ended",
                    {{"request", plan_.submitted.content->id},
                     {"outcome", outcome},
                     {"route", plan_.matched_route.name},
                     {"account", plan_.account.str()},
                     {"attempts", attempt_.value()},
                     {"runs", runs_},
                     {"last_event", last_event_.value_or("none")},
                     {"took_ms", core::to_milliseconds(now_ - plan_.accepted)},
                     {"left_ms", core::to_milliseconds(answer_deadline() - now_)},
                     {"last_loss", loss_detail_}});
}

} // namespace cyclamen::relay
