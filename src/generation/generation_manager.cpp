#include "generation/generation_manager.hpp"

#include <algorithm>

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::generation {

namespace {

/// A timer that fires later than this shows that this instance itself was stalled.
constexpr core::duration timer_lateness_tolerance = std::chrono::milliseconds{100};

adaptive_timeout_settings timeout_settings_of(const generation_settings& settings)
{
    const adaptive_timeout_settings defaults;
    return adaptive_timeout_settings{
        defaults.quantile,
        defaults.factor,
        defaults.margin,
        std::min(defaults.min_gap_limit, settings.token_gap_limit),
        settings.token_gap_limit,
        std::min(defaults.initial_gap_limit, settings.token_gap_limit),
        std::min(defaults.min_first_token_limit, settings.first_token_limit),
        settings.first_token_limit,
        std::min(defaults.initial_first_token_limit, settings.first_token_limit),
        defaults.probe_limit,
        defaults.stall_limit};
}

bool waits_for_engine(generation_event event)
{
    return event == generation_event::token_overdue;
}

} // namespace

generation_manager::generation_manager(generation_settings settings,
                                       std::shared_ptr<const chart::chart> definition,
                                       routing::target_chooser& chooser, generation_output& output,
                                       generation_policies policies)
    : settings_{settings}, definition_{std::move(definition)}, chooser_{chooser}, output_{output},
      timeouts_{std::move(policies.timeouts)}, resume_policy_{std::move(policies.resumes)},
      placement_queue_{settings_.resumes_per_second, settings_.resume_burst},
      followers_{static_cast<follower_host&>(*this)}
{
    if (timeouts_ == nullptr) {
        timeouts_ = std::make_unique<adaptive_timeout_policy>(timeout_settings_of(settings_));
    }
    if (resume_policy_ == nullptr) {
        resume_policy_ = std::make_unique<resume_from_journal>();
    }
    outcomes_.add(*timeouts_);
}

void generation_manager::configure(model::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    chooser_.configure(configuration_);
}

void generation_manager::on_caller_gone(core::caller_id caller, core::instant now)
{
    now_ = now;
    const auto found = by_caller_.find(caller);
    if (found == by_caller_.end()) {
        followers_.remove(caller);
        return;
    }
    generation* left = find(found->second);
    by_caller_.erase(found);
    if (left != nullptr) {
        left->detach(caller);
        retire_if_over(*left);
    }
}

void generation_manager::on_engine_event(const api::engine_event& event, core::instant now)
{
    now_ = now;
    const auto id = std::visit([](const auto& each) { return each.attempt.generation; }, event);
    generation* affected = find(id);
    if (affected == nullptr) {
        return;
    }
    if (const auto* tokens = std::get_if<api::attempt_tokens>(&event)) {
        affected->on_tokens(*tokens);
    }
    else if (const auto* finished = std::get_if<api::attempt_finished>(&event)) {
        affected->on_finished(*finished);
    }
    else if (const auto* lost = std::get_if<api::attempt_lost>(&event)) {
        affected->on_lost(*lost);
    }
    else if (const auto* alive = std::get_if<api::attempt_alive>(&event)) {
        affected->on_alive(*alive);
    }
    retire_if_over(*affected);
    place_waiting();
}

void generation_manager::on_timer(core::instant now)
{
    now_ = now;
    fire_timers();
    followers_.on_timer(now);
    apply_quarantines();
    place_waiting();
    forget_finished();
}

std::optional<core::instant> generation_manager::next_deadline() const
{
    std::optional<core::instant> next = placement_queue_.next_deadline();
    const auto consider = [&](core::instant deadline) {
        next = std::min(next.value_or(deadline), deadline);
    };
    if (const auto timer = timers_.next_deadline()) {
        consider(*timer);
    }
    if (const auto quarantine = poison_.next_deadline()) {
        consider(*quarantine);
    }
    if (const auto search = followers_.next_deadline()) {
        consider(*search);
    }
    if (!forget_at_.empty()) {
        consider(forget_at_.begin()->first);
    }
    if (const auto admission = admission_->next_deadline()) {
        consider(*admission);
    }
    return next;
}

void generation_manager::seek_target(core::generation_id id)
{
    const generation& seeking = *generations_.at(id);
    if (seeking.state_name() == "resuming" || seeking.tokens().size() > 0) {
        placement_queue_.add_resume(id, seeking.deadline());
    }
    else if (id != offered_id_) {
        placement_queue_.add_arrival(id);
    }
}

void generation_manager::send(api::front_command command)
{
    // A caller is forgotten once its answer has ended.
    if (const auto* complete = std::get_if<api::answer_complete>(&command)) {
        by_caller_.erase(complete->caller);
    }
    else if (const auto* failed = std::get_if<api::answer_failed>(&command)) {
        by_caller_.erase(failed->caller);
    }
    output_.send(std::move(command));
}

void generation_manager::on_attempt_tokens(core::generation_id id, std::uint64_t /*first*/,
                                           const std::vector<std::string>& tokens)
{
    outcomes_.on_tokens(id, tokens.size(), now_);
    if (checkpoints_ != nullptr) {
        checkpoints_->on_tokens(id);
    }
}

void generation_manager::on_tokens_forgotten(core::generation_id /*id*/, std::uint64_t /*kept*/) {}

std::uint64_t generation_manager::released_tokens(core::generation_id id, std::uint64_t held) const
{
    return checkpoints_ == nullptr ? held : checkpoints_->released(id).value_or(held);
}

void generation_manager::release_all(core::generation_id id)
{
    if (checkpoints_ != nullptr) {
        checkpoints_->release_all(id);
    }
}

void generation_manager::on_attempt_finished(core::generation_id id,
                                             const core::target_name& target)
{
    chooser_.on_finished(target, now_);
    suspect_targets_.erase(id);
    const generation_plan& plan = generations_.at(id)->plan();
    poison_.on_finished(fingerprint_of(plan.account, plan.prompt));
    outcomes_.on_finished(id, now_);
    if (checkpoints_ != nullptr) {
        checkpoints_->finish(id);
    }
}

void generation_manager::on_attempt_lost(core::generation_id id, const core::target_name& target,
                                         loss_cause cause)
{
    chooser_.on_lost(target, now_);
    suspect_targets_.erase(id);
    const generation& affected = *generations_.at(id);
    const fingerprint request = fingerprint_of(affected.plan().account, affected.plan().prompt);
    const bool was_quarantined = poison_.is_quarantined(request, now_);
    if (cause == loss_cause::connection_lost && !was_quarantined) {
        if (auto subject = outcomes_.subject_of(id)) {
            suspect_losses_[request].push_back(*std::move(subject));
        }
        poison_.on_crash(request, affected.plan().account, target, !affected.attempt_has_token(),
                         now_);
    }
    outcomes_.on_lost(id, cause, was_quarantined, now_);
    std::erase_if(suspect_losses_,
                  [this](const auto& each) { return !poison_.is_suspect(each.first, now_); });
}

void generation_manager::apply_quarantines()
{
    for (const fingerprint request : poison_.confirm_quarantines(now_)) {
        core::log_event(core::log_level::warning, "request_quarantined",
                        {{"fingerprint", request.value()}});
        if (announce_quarantine_) {
            const auto lasts =
                std::chrono::duration_cast<std::chrono::milliseconds>(poison_.window());
            announce_quarantine_(
                api::quarantine_notice{request.value(), static_cast<std::uint64_t>(lasts.count())});
        }
        end_quarantined(request);
    }
}

void generation_manager::on_quarantine_notice(const api::quarantine_notice& notice,
                                              core::instant now)
{
    now_ = now;
    const fingerprint request{notice.fingerprint};
    poison_.quarantine(request, now + std::chrono::milliseconds{notice.lasts_ms});
    end_quarantined(request);
}

void generation_manager::end_quarantined(fingerprint request)
{
    for (const attempt_subject& each : suspect_losses_[request]) {
        outcomes_.excuse(each, now_);
    }
    suspect_losses_.erase(request);
    for (const auto& [id, candidate] : generations_) {
        const generation_plan& plan = candidate->plan();
        if (!candidate->is_over() && fingerprint_of(plan.account, plan.prompt) == request) {
            candidate->on_quarantined();
            retire_if_over(*candidate);
        }
    }
}

std::set<core::target_name> generation_manager::targets_to_avoid(const generation& seeking) const
{
    std::set<core::target_name> avoided = seeking.lost_targets();
    const generation_plan& plan = seeking.plan();
    if (poison_.is_suspect(fingerprint_of(plan.account, plan.prompt), now_)) {
        for (const auto& [id, target] : suspect_targets_) {
            avoided.insert(target);
        }
    }
    return avoided;
}

void generation_manager::on_attempt_cancelled(core::generation_id id,
                                              const core::target_name& target)
{
    chooser_.on_finished(target, now_);
    suspect_targets_.erase(id);
    outcomes_.on_cancelled(id);
}

void generation_manager::start_timer(core::generation_id id, generation_event event,
                                     core::duration delay)
{
    timers_.start({id, event}, now_ + delay);
}

void generation_manager::stop_timer(core::generation_id id, generation_event event)
{
    timers_.stop({id, event});
}

void generation_manager::refuse(core::caller_id caller, const absl::Status& status)
{
    constexpr bool not_run = true;
    output_.send(api::front_command{api::answer_failed{caller, core::to_failure(status, not_run)}});
}

void generation_manager::use_checkpoints(checkpoint_service& checkpoints, std::string origin)
{
    checkpoints_ = &checkpoints;
    origin_ = std::move(origin);
    checkpoints.set_listener(*this);
}

void generation_manager::on_released(core::generation_id id)
{
    if (generation* affected = find(id)) {
        affected->on_released();
        retire_if_over(*affected);
    }
}

void generation_manager::on_superseded(core::generation_id id)
{
    if (generation* affected = find(id)) {
        affected->on_superseded();
        retire_if_over(*affected);
    }
}

generation* generation_manager::find(core::generation_id id)
{
    const auto found = generations_.find(id);
    return found == generations_.end() ? nullptr : found->second.get();
}

void generation_manager::place_waiting()
{
    start_admitted();
    placement_queue_.place([this](core::generation_id id) { return place(id); }, now_);
}

bool generation_manager::place(core::generation_id id)
{
    generation* seeking = find(id);
    if (seeking == nullptr || !seeking->is_seeking()) {
        return true;
    }
    const generation_plan& plan = seeking->plan();
    if (poison_.is_pending(fingerprint_of(plan.account, plan.prompt))) {
        return false;
    }
    const auto target = chooser_.choose(
        routing::placement_request{plan.service, plan.version, plan.prompt,
                                   targets_to_avoid(*seeking), seeking->tokens().size() > 0},
        now_);
    if (!target.ok()) {
        return false;
    }
    chooser_.on_opened(target->name, now_);
    if (poison_.is_suspect(fingerprint_of(plan.account, plan.prompt), now_)) {
        suspect_targets_.insert_or_assign(id, target->name);
    }
    seeking->on_target_chosen(*target);
    outcomes_.on_opened(id,
                        attempt_subject{plan.service, plan.version, target->name, plan.route,
                                        plan.account, plan.account_labels,
                                        !seeking->lost_targets().empty(), seeking->prompt_words()},
                        now_);
    return true;
}

void generation_manager::retire_if_over(generation& changed)
{
    const core::generation_id id = changed.plan().id;
    if (!changed.is_over() || !retired_.insert(id).second) {
        return;
    }
    --live_count_;
    if (checkpoints_ != nullptr && changed.state_name() == "done") {
        checkpoints_->finish(id);
    }
    admission_->on_ended(id, changed.state_name() == "done", now_);
    const bool keep = !changed.plan().key.empty() && changed.state_name() == "done";
    forget_at_.emplace(now_ + (keep ? settings_.retention : core::duration::zero()), id);
}

void generation_manager::fire_timers()
{
    // After a stall of this instance, tokens that arrived in the meantime have to be processed
    // before an engine counts as unresponsive.
    const bool was_stalled =
        timers_.next_deadline().value_or(now_) + timer_lateness_tolerance < now_;
    while (const auto timer = timers_.take_expired(now_)) {
        if (was_stalled && waits_for_engine(timer->second)) {
            timers_.start(*timer, now_ + timer_lateness_tolerance);
            continue;
        }
        if (generation* affected = find(timer->first)) {
            affected->on_timer(timer->second);
            retire_if_over(*affected);
        }
    }
}

void generation_manager::forget_finished()
{
    while (!forget_at_.empty() && forget_at_.begin()->first <= now_) {
        const core::generation_id id = forget_at_.begin()->second;
        const generation_plan& plan = generations_.at(id)->plan();
        const auto keyed = by_key_.find({plan.account, plan.key});
        if (keyed != by_key_.end() && keyed->second == id) {
            by_key_.erase(keyed);
        }
        if (checkpoints_ != nullptr) {
            checkpoints_->close(id);
        }
        const fingerprint request = fingerprint_of(plan.account, plan.prompt);
        if (!poison_.is_suspect(request, now_)) {
            suspect_losses_.erase(request);
        }
        generations_.erase(id);
        retired_.erase(id);
        forget_at_.erase(forget_at_.begin());
    }
}

} // namespace cyclamen::generation
