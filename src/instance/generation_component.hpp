#pragma once

#include <memory>

#include "generation/generation_manager.hpp"
#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "routing/target_chooser.hpp"

namespace cyclamen::instance {

/// Connects the generation manager to callers and engines.
class generation_component final : public component, private generation::generation_output {
  public:
    /// @param settings limits of generations
    /// @param definition the chart `generation`
    /// @param chooser chooses the target of an attempt
    /// @param out senders to the tasks that own sockets; must outlive this object
    /// @param policies replaceable policies; the default is used for each empty member
    generation_component(const generation::generation_settings& settings,
                         std::shared_ptr<const chart::chart> definition,
                         std::unique_ptr<routing::target_chooser> chooser, senders& out,
                         generation::generation_policies policies = {});

    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

    /// Sets which object chooses versions and adds a listener to the outcomes of attempts. Both
    /// must outlive this object.
    void follow(generation::version_chooser& versions, generation::outcome_listener& listener)
    {
        manager_.use_version_chooser(versions);
        manager_.add_listener(listener);
    }

    [[nodiscard]] const generation::generation_manager& manager() const { return manager_; }
    [[nodiscard]] generation::generation_manager& manager() { return manager_; }

  private:
    senders& out_;
    std::unique_ptr<routing::target_chooser> chooser_;
    generation::generation_manager manager_;

    void send(api::engine_command command) override;
    void send(api::front_command command) override;
};

} // namespace cyclamen::instance
