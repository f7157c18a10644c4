#pragma once

#include <map>

#include "core/clock.hpp"
#include "generation/outcome_listener.hpp"
#include "generation/version_chooser.hpp"
#include "instance/component.hpp"
#include "rollout/rollout_manager.hpp"

namespace cyclamen::instance {

/// Connects the rollout manager to generations: chooses the version of each new generation and
/// receives the outcomes of its attempts. Must outlive generation_component.
class rollout_component final : public component,
                                public generation::version_chooser,
                                public generation::outcome_listener,
                                private rollout::rollout_output {
  public:
    /// @param self name of this instance
    /// @param definition the chart `rollout`
    /// @param clock provides the wall-clock time, in which deadlines are declared; must outlive
    /// this object
    rollout_component(const core::instance_name& self,
                      std::shared_ptr<const chart::chart> definition, const core::clock& clock);

    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override
    {
        return next_review_at_;
    }
    void on_timer(core::instant now) override;

    [[nodiscard]] core::version_name choose_version(const generation::new_generation& work,
                                                    core::instant now) override;

    void on_opened(const generation::attempt_subject& subject, core::instant now) override;
    void on_first_token(const generation::attempt_subject& subject, core::duration latency,
                        core::instant now) override;
    void on_finished(const generation::attempt_subject& subject, std::uint64_t tokens,
                     core::duration latency, core::instant now) override;
    void on_lost(const generation::attempt_subject& subject, const generation::attempt_loss& loss,
                 core::instant now) override;
    void on_loss_excused(const generation::attempt_subject& subject, core::instant now) override;

    [[nodiscard]] const rollout::rollout_manager& manager() const { return manager_; }

  private:
    const core::clock& clock_;
    const core::instance_name self_;
    rollout::rollout_manager manager_;
    std::uint64_t requests_ = 0;
    std::optional<core::instant> next_review_at_;
    /// Time of the last loss at each target. It is needed if the loss is excused later.
    std::map<core::target_name, core::wall_time> last_losses_;

    [[nodiscard]] core::wall_time wall(core::duration ago = core::duration::zero()) const;
    [[nodiscard]] std::optional<rollout::placed_attempt>
    describe_attempt(const generation::attempt_subject& subject, core::duration ago) const;

    void publish(const api::rollout_gossip& update) override;
    void order_loads(const model::rollout& declared) override;
    void on_state(const rollout::rollout_report& report) override;
};

} // namespace cyclamen::instance
