#include "instance/membership_component.hpp"

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "membership/instance_choice.hpp"

namespace cyclamen::instance {

namespace {

/// How long a refused caller waits before it sends the request to another instance.
constexpr core::duration redirect_retry_delay = std::chrono::seconds{1};

std::string_view state_name(api::member_state state)
{
    switch (state) {
    case api::member_state::starting:
        return "starting";
    case api::member_state::serving:
        return "serving";
    case api::member_state::draining:
        return "draining";
    case api::member_state::suspect:
        return "suspect";
    case api::member_state::gone:
        break;
    }
    return "gone";
}

std::uint64_t seed_of(const api::member& self)
{
    return core::hash_of(self.identity.name.str(), self.identity.incarnation.value());
}

} // namespace

membership_component::membership_component(const membership_component_settings& settings,
                                           std::shared_ptr<const chart::chart> definition,
                                           senders& out, task::outbox_ptr<api::instance_left> owner)
    : out_{out}, owner_{std::move(owner)}, members_{settings.membership, settings.self, *this,
                                                    seed_of(settings.self)},
      lifecycle_{settings.lifecycle, std::move(definition), *this}, random_{seed_of(settings.self)}
{
}

void membership_component::configuration_ready(core::instant now)
{
    now_ = now;
    if (lifecycle_.state_name() == "starting") {
        lifecycle_.raise(membership::instance_event::configuration_ready, now);
    }
}

void membership_component::hold_work(bool held)
{
    if (!lifecycle_.accepts_work()) {
        return;
    }
    if (held) {
        out_.front.send(api::admission{
            "catching_up", refusal("this instance was paused and is verifying its configuration"),
            false});
    }
    else {
        out_.front.send(api::admission{"serving", std::nullopt, false});
    }
}

core::failure membership_component::refusal(std::string_view problem)
{
    const auto choice = membership::choose_instance(members_.others().present(),
                                                    members_.self().callers, random_());
    const bool elsewhere = choice.preferred != members_.self().callers;
    const std::string remedy =
        elsewhere
            ? core::concat("send the request to ", core::to_string(choice.preferred))
            : std::string{
                  "get the instance to use from GET /v1/instances, and send the request again"};
    return core::to_failure(core::make_error(core::error_kind::unavailable, problem, remedy), true,
                            redirect_retry_delay);
}

void membership_component::on_start(core::instant now)
{
    now_ = now;
    lifecycle_.start(now);
    members_.start(now);
    out_.front.send(api::admission{"starting", refusal("this instance is starting"), false});
}

void membership_component::on_message(const decision_message& message, core::instant now)
{
    now_ = now;
    if (const auto* peer = std::get_if<api::peer_event>(&message)) {
        members_.on_message(std::get<api::peer_received>(*peer), now);
    }
    else if (std::holds_alternative<api::lifecycle_command>(message)) {
        lifecycle_.raise(membership::instance_event::stop_requested, now);
    }
    else if (const auto* front = std::get_if<api::front_event>(&message)) {
        if (const auto* query = std::get_if<api::instance_query>(front)) {
            answer(*query);
        }
        else if (std::holds_alternative<api::work_finished>(*front)) {
            lifecycle_.raise(membership::instance_event::work_finished, now);
        }
    }
}

std::optional<core::instant> membership_component::next_deadline() const
{
    const auto lifecycle_deadline = lifecycle_.next_deadline();
    return std::min(lifecycle_deadline.value_or(members_.next_deadline()),
                    members_.next_deadline());
}

void membership_component::on_timer(core::instant now)
{
    now_ = now;
    lifecycle_.on_timer(now);
    members_.on_timer(now);
}

void membership_component::answer(const api::instance_query& query)
{
    const auto choice =
        membership::choose_instance(members_.present(), members_.self().callers, random_());
    out_.front.send(
        api::instance_answer{query.caller, choice.preferred, choice.alternates, choice.cache_time});
}

void membership_component::send(std::vector<api::peer_destination> to, api::peer_message message)
{
    out_.peers.send(api::send_to_peers{std::move(to), std::move(message)});
}

api::configuration_knowledge membership_component::knowledge(core::instant now) const
{
    return knowledge_source_ != nullptr
               ? knowledge_source_->knowledge(now)
               : api::configuration_knowledge{core::revision{}, std::nullopt};
}

void membership_component::on_peer_knowledge(const api::peer_identity& from,
                                             const api::configuration_knowledge& reported,
                                             std::optional<core::instant> not_before,
                                             core::instant now)
{
    if (knowledge_source_ != nullptr) {
        knowledge_source_->on_peer_knowledge(from, reported, not_before, now);
    }
}

void membership_component::members_changed(core::instant now)
{
    const std::vector<api::member> others = members_.others().present();
    for (members_listener* each : listeners_) {
        each->on_members(others, now);
    }
}

void membership_component::paused(core::duration length, core::instant now)
{
    core::log_event(core::log_level::warning, "instance_paused",
                    {{"pause_ms", core::to_milliseconds(length)}});
    if (knowledge_source_ != nullptr) {
        knowledge_source_->paused(length, now);
    }
}

void membership_component::superseded(core::instant now)
{
    if (lifecycle_.is_leaving()) {
        return;
    }
    core::log_event(
        core::log_level::error, "instance_superseded",
        {{"instance", members_.self().identity.name.str()},
         {"remedy",
          "a later process uses the same instance name: give each instance a unique name"}});
    lifecycle_.raise(membership::instance_event::superseded, now);
}

void membership_component::announce(api::member_state state)
{
    core::log_event(core::log_level::info, "instance_state", {{"state", state_name(state)}});
    members_.announce(state, now_);
    if (state == api::member_state::serving) {
        out_.front.send(api::admission{"serving", std::nullopt, false});
    }
}

void membership_component::refuse_work()
{
    out_.front.send(api::admission{"draining", refusal("this instance is shutting down"), true});
}

void membership_component::end_process(bool work_cut)
{
    const absl::Status posted = owner_->post(api::instance_left{work_cut});
    static_cast<void>(posted);
}

} // namespace cyclamen::instance
