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
    if (plan_.engine.has_value() && !copy_holder_.has_value()) {
        for (const target_record& each : host_.survey(make_query())) {
            pending_candidates_.emplace(each.name, each);
        }
        follow_up_ =
            pending_candidates_.empty() ? missing_target_event() : request_event::candidates_found;
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
        host_.send(relay::ask_target{plan_.number, name, each.address});
    }
}

void relayed_request::choose_candidate()
{
    for (const auto& [name, each] : pending_candidates_) {
        core::log_event(core::log_level::info, "survey_unanswered",
                        {{"request", plan_.submitted.content->id}, {"target", name.str()}});
        host_.on_loss(name);
    }
    pending_candidates_.clear();
    placed_.emplace(*host_.place(make_query()));
}

void relayed_request::start_attempt()
{
    attempt_ = attempt_.next();
    attempt_has_events_ = false;
    begun_at_.reset();
    attempt_opened_at_ = now_;
    outcome_reported_ = false;
    attempt_sent_ = true;
    const placement& placed = placed_->get();
    if (offers_ > 0) {
        host_.count_retry(plan_.service);
    }
    ++offers_;
    // Decremented again if the target rejects the request or can't have received it.
    ++runs_;
    core::log_event(core::log_level::info, "attempt_opened",
                    {{"request", plan_.submitted.content->id},
                     {"attempt", attempt_.value()},
                     {"target", placed.target.name.str()},
                     {"domain", placed.target.domain.str()},
                     {"standby", placed.standby.has_value() ? placed.standby->name.str() : "none"},
                     {"from_copy", placed.from_copy},
                     {"last_event", last_event_.value_or("none")},
                     {"after_ms", core::to_milliseconds(now_ - plan_.accepted)}});
    host_.on_opened(placed, plan_.submitted.prompt_tokens);
    host_.send(relay::open_attempt{
        attempt_id{plan_.number, attempt_}, placed.target.name, placed.target.address,
        plan_.submitted.content, answer_deadline() - now_, plan_.account, last_event_,
        placed.standby.has_value() ? std::optional{placed.standby->address} : std::nullopt,
        placed.from_copy ? std::optional{copy_->get()} : std::nullopt});
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
