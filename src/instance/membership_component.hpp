#pragma once

#include <memory>
#include <random>

#include "api/lifecycle_messages.hpp"
#include "instance/component.hpp"
#include "instance/knowledge_source.hpp"
#include "instance/members_listener.hpp"
#include "instance/senders.hpp"
#include "membership/instance_lifecycle.hpp"
#include "membership/membership.hpp"
#include "task/outbox.hpp"

namespace cyclamen::instance {

/// How the membership component is set up.
struct membership_component_settings {
    const api::member self;
    const membership::membership_settings membership;
    const membership::lifecycle_settings lifecycle;
};

/// Connects membership and the life of this instance with peers and callers.
class membership_component final : public component,
                                   private membership::membership_host,
                                   private membership::lifecycle_host {
  public:
    /// @param settings how it is set up
    /// @param definition the chart `instance`
    /// @param out reaches the tasks that own sockets
    /// @param owner is posted when the instance has left
    membership_component(const membership_component_settings& settings,
                         std::shared_ptr<const chart::chart> definition, senders& out,
                         task::outbox_ptr<api::instance_left> owner);

    /// Sets what knows the configuration; it outlives this object. Called before the start.
    void set_knowledge_source(knowledge_source& source) { knowledge_source_ = &source; }

    /// Tells another component who the other instances are; it outlives this one. Called before the
    /// start.
    void add_listener(members_listener& listener) { listeners_.push_back(&listener); }

    /// Lets the instance serve: it has a configuration. No effect where it serves already.
    void configuration_ready(core::instant now);

    /// Has new work refused, or taken again. No effect while the instance leaves.
    void hold_work(bool held);

    /// @return the other instances as far as they are known
    [[nodiscard]] membership::membership& members() { return members_; }
    [[nodiscard]] const membership::membership& members() const { return members_; }

    [[nodiscard]] const membership::instance_lifecycle& lifecycle() const { return lifecycle_; }

    /// @return a refusal that is true of a request that no target has seen, naming another instance
    /// @param problem why it is refused
    [[nodiscard]] core::failure refusal(std::string_view problem);

    void on_start(core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

  private:
    senders& out_;
    task::outbox_ptr<api::instance_left> owner_;
    membership::membership members_;
    membership::instance_lifecycle lifecycle_;
    knowledge_source* knowledge_source_ = nullptr;
    std::vector<members_listener*> listeners_;
    std::mt19937_64 random_;
    core::instant now_;

    void answer(const api::instance_query& query);

    void send(std::vector<api::peer_destination> to, api::peer_message message) override;
    [[nodiscard]] api::configuration_knowledge knowledge(core::instant now) const override;
    void on_peer_knowledge(const api::peer_identity& from,
                           const api::configuration_knowledge& reported,
                           std::optional<core::instant> not_before, core::instant now) override;
    void members_changed(core::instant now) override;
    void paused(core::duration length, core::instant now) override;
    void superseded(core::instant now) override;

    void announce(api::member_state state) override;
    void refuse_work() override;
    void end_process(bool work_cut) override;
};

} // namespace cyclamen::instance
