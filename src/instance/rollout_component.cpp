#include "instance/rollout_component.hpp"

#include "core/hash.hpp"
#include "core/log.hpp"
#include "rollout/evidence_policy.hpp"

namespace cyclamen::instance {

namespace {

constexpr core::duration review_interval = std::chrono::seconds{1};

/// False because target choosers distribute the requests of a version over all its targets.
constexpr bool targets_are_concentrated = false;

std::unique_ptr<rollout::share_policy> make_policy()
{
    return std::make_unique<rollout::evidence_policy>(
        rollout::schedule_settings{}, rollout::judgement_settings{}, targets_are_concentrated);
}

rollout::attempt_end to_attempt_end(const generation::attempt_loss& loss)
{
    if (loss.poison) {
        return rollout::attempt_end::unrelated;
    }
    switch (loss.cause) {
    case generation::loss_cause::connection_lost:
    case generation::loss_cause::unresponsive:
        return rollout::attempt_end::lost;
    case generation::loss_cause::engine_error:
        return rollout::attempt_end::failed;
    case generation::loss_cause::not_connected:
    case generation::loss_cause::engine_busy:
        break;
    }
    return rollout::attempt_end::unrelated;
}

/// @return an incarnation from the wall clock, so that a later process has a higher number
core::incarnation make_incarnation(const core::clock& clock)
{
    return core::incarnation{static_cast<std::uint64_t>(clock.wall().time_since_epoch().count())};
}

} // namespace

rollout_component::rollout_component(const core::instance_name& self,
                                     std::shared_ptr<const chart::chart> definition,
                                     const core::clock& clock)
    : clock_{clock}, self_{self}, manager_{{self, make_incarnation(clock)},
                                           std::move(definition),
                                           make_policy(),
                                           *this}
{
}

core::wall_time rollout_component::wall(core::duration ago) const
{
    return clock_.wall() - std::chrono::duration_cast<std::chrono::milliseconds>(ago);
}

void rollout_component::on_configuration(const model::configuration_ptr& configuration,
                                         core::instant now)
{
    manager_.configure(configuration, wall());
    next_review_at_ = now;
}

void rollout_component::on_message(const decision_message& /*message*/, core::instant /*now*/) {}

void rollout_component::on_timer(core::instant now)
{
    manager_.review({0, 0, {}}, wall());
    next_review_at_ = now + review_interval;
}

core::version_name rollout_component::choose_version(const generation::new_generation& work,
                                                     core::instant /*now*/)
{
    const std::uint64_t request = core::hash_of(self_.str(), ++requests_);
    const auto routed = manager_.route(work.service.name, work.account.labels, request, wall());
    return routed.has_value() ? routed->version : work.service.version;
}

std::optional<rollout::placed_attempt>
rollout_component::describe_attempt(const generation::attempt_subject& subject,
                                    core::duration ago) const
{
    const auto arm = manager_.arm_of(subject.service, subject.account_labels, subject.version);
    if (!arm.has_value()) {
        return std::nullopt;
    }
    return rollout::placed_attempt{arm->rollout,
                                   arm->choice,
                                   {api::route_name{subject.route}, subject.account_labels},
                                   subject.target,
                                   wall(ago)};
}

void rollout_component::on_opened(const generation::attempt_subject& subject, core::instant /*now*/)
{
    const auto attempt = describe_attempt(subject, core::duration::zero());
    if (attempt.has_value()) {
        manager_.on_opened(*attempt);
    }
}

void rollout_component::on_first_token(const generation::attempt_subject& subject,
                                       core::duration latency, core::instant /*now*/)
{
    const auto attempt = describe_attempt(subject, latency);
    // A resumed attempt prefills more than a new one, so its latency says nothing about the
    // version.
    if (attempt.has_value() && !subject.is_resume) {
        manager_.on_first_token(*attempt, latency);
    }
}

void rollout_component::on_finished(const generation::attempt_subject& subject,
                                    std::uint64_t /*tokens*/, core::duration latency,
                                    core::instant /*now*/)
{
    const auto attempt = describe_attempt(subject, latency);
    if (attempt.has_value()) {
        manager_.on_end(*attempt, rollout::attempt_end::finished, wall());
    }
}

void rollout_component::on_lost(const generation::attempt_subject& subject,
                                const generation::attempt_loss& loss, core::instant /*now*/)
{
    const auto attempt = describe_attempt(subject, loss.elapsed);
    if (attempt.has_value()) {
        manager_.on_end(*attempt, to_attempt_end(loss), wall());
        last_losses_.insert_or_assign(subject.target, wall());
    }
}

void rollout_component::on_loss_excused(const generation::attempt_subject& subject,
                                        core::instant /*now*/)
{
    const auto attempt = describe_attempt(subject, core::duration::zero());
    const auto last_loss = last_losses_.find(subject.target);
    if (attempt.has_value() && last_loss != last_losses_.end()) {
        manager_.excuse(*attempt, last_loss->second);
    }
}

void rollout_component::publish(const api::rollout_gossip& update)
{
    core::log_event(core::log_level::debug, "rollout_news",
                    {{"cells", update.cells.size()}, {"vetoes", update.vetoes.size()}});
}

void rollout_component::order_loads(const model::rollout& declared)
{
    core::log_event(core::log_level::info, "rollout_targets_wanted",
                    {{"rollout", declared.name.str()}, {"version", declared.to.str()}});
}

void rollout_component::on_state(const rollout::rollout_report& report)
{
    core::log_event(core::log_level::info, "rollout_state",
                    {{"rollout", report.rollout.name.str()},
                     {"version", report.rollout.to.str()},
                     {"attempt", report.rollout.attempt},
                     {"state", report.state},
                     {"share", report.share},
                     {"reason", report.reason}});
}

} // namespace cyclamen::instance
