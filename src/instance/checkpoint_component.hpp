#pragma once

#include <map>

#include "generation/checkpoint_service.hpp"
#include "generation/generation_manager.hpp"
#include "instance/component.hpp"
#include "instance/members_listener.hpp"
#include "instance/senders.hpp"

namespace cyclamen::instance {

/// Connects the checkpoints of generations to the other instances, and exchanges quarantine notices
/// about requests that crash targets with them.
class checkpoint_component final : public component,
                                   public members_listener,
                                   private generation::checkpoint_output {
  public:
    /// @param self this instance
    /// @param charts the charts `checkpoint` and `takeover`
    /// @param generations manager of the generations to checkpoint; must outlive this object
    /// @param out senders, of which the one to the peer task is used; must outlive this object
    checkpoint_component(const api::member& self, generation::checkpoint_charts charts,
                         generation::generation_manager& generations, senders& out);

    void on_members(const std::vector<api::member>& others, core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

  private:
    generation::generation_manager& generations_;
    senders& out_;
    generation::checkpoint_service service_;
    std::map<api::checkpoint_party, api::peer_destination> destinations_;

    void send(const api::checkpoint_party& to, api::checkpoint_message message) override;
    void publish_quarantine(const api::quarantine_notice& notice);
};

} // namespace cyclamen::instance
