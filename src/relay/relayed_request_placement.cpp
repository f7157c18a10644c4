#include <algorithm>

#include "core/log.hpp"
#include "relay/relayed_request.hpp"

/// @file
/// Placement of a request's attempts and of the copies of its memory.

namespace cyclamen::relay {

namespace {

std::optional<version_rule> version_rule_of(const std::optional<core::cell<version_rule>>& rule)
{
    return rule.has_value() ? std::optional{rule->get()} : std::nullopt;
}

} // namespace

placement_query relayed_request::make_query() const
{
    const bool wants_standby = plan_.engine.has_value() && plan_.engine->mirrors_memory &&
                               plan_.matched_route.kind == request_kind::streaming;
    return placement_query{plan_.service,
                           plan_.submitted.prompt_tokens,
                           plan_.engine.has_value() ? plan_.submitted.prompt_key : std::string{},
                           tried_,
                           lost_domain_,
                           copy_holder_,
                           wants_standby,
                           loads_,
                           version_rule_of(rule_)};
}

void relayed_request::seek_target()
{
    loads_.clear();
    start_load_.reset();
    pending_candidates_.clear();
    if (is_quarantined()) {
        follow_up_ = request_event::quarantine_found;
        return;
    }
    rule_.reset();
    if (const auto rule = host_.version_rule_for(plan_, !rule_known_); rule.has_value()) {
        rule_.emplace(*rule);
    }
    rule_known_ = true;
    // No survey if the target is given by its copy, nor for plain services, which report no load.
    if (plan_.engine.has_value() && !copy_holder_.has_value() &&
        unanswered_surveys_ < settings_.max_unanswered_surveys) {
        for (const target_record& each : host_.survey(make_query())) {
            pending_candidates_.emplace(each.name, each);
        }
        asked_ = pending_candidates_.size();
        follow_up_ =
            pending_candidates_.empty() ? missing_target_event() : request_event::candidates_found;
        return;
    }
    if (!plan_.engine.has_value() && plan_.matched_route.kind != request_kind::streaming) {
        follow_up_ = take_turn();
        return;
    }
    const auto found = host_.place(make_query());
    if (!found.has_value()) {
        follow_up_ = missing_target_event();
        return;
    }
    placed_.emplace(*found);
    follow_up_ = request_event::target_found;
}

void relayed_request::ask_candidates()
{
    for (const auto& [name, each] : pending_candidates_) {
        host_.send(relay::ask_target{plan_.number, name, each.address, {}});
    }
}

void relayed_request::note_failed_survey()
{
    const std::size_t unanswered = pending_candidates_.size();
    // If all are silent, this instance may be the slow one.
    const bool all_silent = unanswered == asked_;
    unanswered_surveys_ += all_silent ? 1 : 0;
    for (const auto& [name, each] : pending_candidates_) {
        tried_.insert(name);
        if (!all_silent) {
            host_.on_loss(name);
        }
    }
    core::log_event(
        core::log_level::info, "survey_failed",
        {{"request", plan_.submitted.content->id}, {"unanswered", unanswered}, {"asked", asked_}});
}

void relayed_request::weigh_candidates()
{
    // The target of the last attempt may have been checked meanwhile.
    if (is_quarantined()) {
        follow_up_ = request_event::quarantine_found;
        return;
    }
    // A candidate may have left, or have asked for no requests, since it was asked for its load.
    const auto found = loads_.empty() ? std::nullopt : host_.place(make_query());
    if (!found.has_value()) {
        follow_up_ = request_event::candidates_lost;
        return;
    }
    for (const auto& [name, each] : pending_candidates_) {
        core::log_event(core::log_level::info, "survey_unanswered",
                        {{"request", plan_.submitted.content->id}, {"target", name.str()}});
        host_.on_loss(name);
    }
    pending_candidates_.clear();
    follow_up_ = admit_candidate(*found);
}

request_event relayed_request::admit_candidate(const placement& found)
{
    const auto load = loads_.find(found.target.name);
    if (!is_new_work() || load == loads_.end()) {
        placed_.emplace(found);
        return request_event::candidate_accepted;
    }
    const limits::engine_load engine = host_.load_of(plan_, found.target.name, load->second);
    const limits::start_decision decision = host_.admit(plan_, engine);
    if (decision.verdict == limits::start_verdict::start) {
        start_load_.emplace(engine);
        placed_.emplace(placement{found.target, fitting_standby(found), found.from_copy});
        return request_event::candidate_accepted;
    }
    overload_retry_after_ = decision.retry_after;
    core::log_event(core::log_level::info, "engines_overloaded",
                    {{"request", plan_.submitted.content->id},
                     {"target", found.target.name.str()},
                     {"urgency", urgency_text()},
                     {"waiting", load->second.waiting},
                     {"running", load->second.running},
                     {"memory_used", load->second.memory_used},
                     {"less_urgent_tokens", engine.yielding_tokens},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)},
                     {"retry_after_ms", core::to_milliseconds(decision.retry_after)}});
    return decision.verdict == limits::start_verdict::wait ? request_event::room_missing
                                                           : request_event::engines_overloaded;
}

std::string relayed_request::urgency_text() const
{
    return plan_.urgency.has_value() ? std::to_string(*plan_.urgency) : "none";
}

std::optional<target_record> relayed_request::fitting_standby(const placement& found) const
{
    // One full engine among others with room is no shortage; it refuses copies itself.
    const bool has_room = std::any_of(loads_.begin(), loads_.end(), [&](const auto& each) {
        return host_.has_room_for_copy(plan_, host_.load_of(plan_, each.first, each.second));
    });
    return has_room ? found.standby : std::nullopt;
}

bool relayed_request::is_new_work() const
{
    return !may_have_run_ && !last_event_.has_value();
}

bool relayed_request::has_other_target() const
{
    const core::target_name& current = placed_->get().target.name;
    std::set<core::target_name> tried = tried_;
    tried.insert(current);
    const auto other = host_.place(placement_query{plan_.service,
                                                   plan_.submitted.prompt_tokens,
                                                   {},
                                                   std::move(tried),
                                                   {},
                                                   {},
                                                   false,
                                                   {},
                                                   version_rule_of(rule_)});
    return other.has_value() && other->target.name != current;
}

void relayed_request::start_attempt()
{
    attempt_ = attempt_.next();
    attempt_has_events_ = false;
    attempt_first_event_at_.reset();
    begun_at_.reset();
    stream_pace_ = {};
    attempt_opened_at_ = now_;
    outcome_reported_ = false;
    attempt_sent_ = true;
    const placement& placed = placed_->get();
    if (offers_ > 0) {
        host_.count_retry(plan_.service);
    }
    ++offers_;
    host_.on_placed(plan_);
    // Decremented again if the target rejects the request or can't have received it.
    ++runs_;
    const auto load = loads_.find(placed.target.name);
    const bool reported = load != loads_.end();
    core::log_event(core::log_level::info, "attempt_opened",
                    {{"request", plan_.submitted.content->id},
                     {"attempt", attempt_.value()},
                     {"target", placed.target.name.str()},
                     {"domain", placed.target.domain.str()},
                     {"standby", placed.standby.has_value() ? placed.standby->name.str() : "none"},
                     {"from_copy", placed.from_copy},
                     {"last_event", last_event_.value_or("none")},
                     {"waiting", reported ? load->second.waiting : 0},
                     {"running", reported ? load->second.running : 0},
                     {"memory_used", reported ? load->second.memory_used : 0},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)}});
    host_.on_opened(placed, plan_.submitted.prompt_tokens);
    host_.send(relay::open_attempt{
        attempt_id{plan_.number, attempt_}, placed.target.name, placed.target.address,
        plan_.submitted.content, answer_deadline() - now_, plan_.account, last_event_,
        placed.standby.has_value() ? std::optional{placed.standby->address} : std::nullopt,
        placed.from_copy ? std::optional{copy_->get()} : std::nullopt, plan_.urgency});
    if (placed.standby.has_value()) {
        protection_ = std::make_unique<run_protection>(
            run_copy{placed.standby->address, plan_.submitted.content->id},
            plan_.engine->copy_retention, settings_.protection, protection_chart_,
            static_cast<protection_host&>(*this));
        protection_->start(now_);
    }
}

void relayed_request::release_attempt()
{
    if (placed_.has_value()) {
        host_.on_closed(placed_->get(), attempt_has_events_ ? 0 : plan_.submitted.prompt_tokens);
        placed_.reset();
        protection_.reset();
    }
}

bool relayed_request::seek_standby()
{
    // A request that has not started to run has no memory to copy.
    if (!attempt_has_events_ || !plan_.engine->copies_on_demand) {
        return false;
    }
    const placement former = placed_->get();
    placement_query query = make_query();
    std::set<core::target_name> tried = tried_;
    if (former.standby.has_value()) {
        tried.insert(former.standby->name);
    }
    const auto found = host_.find_standby(
        placement_query{query.service,
                        query.prompt_tokens,
                        query.prompt_key,
                        std::move(tried),
                        former.standby.has_value() ? std::optional{former.standby->domain}
                                                   : lost_domain_,
                        {},
                        true,
                        {},
                        query.rule},
        former.target);
    if (!found.has_value()) {
        return false;
    }
    host_.on_standby_changed(former.standby, *found);
    placed_->set(placement{former.target, found, former.from_copy});
    return true;
}

void relayed_request::copy_run()
{
    const placement& placed = placed_->get();
    host_.send(relay::copy_run{attempt_id{plan_.number, attempt_}, plan_.submitted.content->id,
                               placed.target.address, placed.standby->name,
                               placed.standby->address});
}

} // namespace cyclamen::relay
