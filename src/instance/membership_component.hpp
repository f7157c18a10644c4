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

/// Settings of membership_component.
struct membership_component_settings {
    /// This instance, with version 1 and the state `starting`.
    const api::member self;
    const membership::membership_settings membership;
    const membership::lifecycle_settings lifecycle;
};

/// Connects the membership and the lifecycle of this instance to peers and callers.
class membership_component final : public component,
                                   private membership::membership_host,
                                   private membership::lifecycle_host {
  public:
    /// @param settings settings of this component
    /// @param definition the chart `instance`
    /// @param out senders to the tasks that own sockets; must outlive this object
    /// @param owner receives a message when the instance has shut down
    membership_component(const membership_component_settings& settings,
                         std::shared_ptr<const chart::chart> definition, senders& out,
                         task::outbox_ptr<api::instance_left> owner);

    /// Sets the source of knowledge about the configuration. It must outlive this object. Must be
    /// called before the start.
    void set_knowledge_source(knowledge_source& source) { knowledge_source_ = &source; }

    /// Adds a listener to updates about the other instances. It must outlive this object. Must be
    /// called before the start.
    void add_listener(members_listener& listener) { listeners_.push_back(&listener); }

    /// Lets the instance serve because it has a configuration. No effect if it isn't starting.
    void configuration_ready(core::instant now);

    /// Makes the front task refuse new work, or accept it again. No effect unless the instance is
    /// in a state in which it accepts work.
    /// @param held true to refuse new work
    void hold_work(bool held);

    /// @return the membership, which knows the other instances
    [[nodiscard]] membership::membership& members() { return members_; }
    [[nodiscard]] const membership::membership& members() const { return members_; }

    [[nodiscard]] const membership::instance_lifecycle& lifecycle() const { return lifecycle_; }

    /// Creates a refusal of a request that no target has received. It names another instance if
    /// there is one.
    /// @param problem reason for the refusal
    /// @return the refusal, marked as not run
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
