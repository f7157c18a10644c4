#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "model/configuration.hpp"
#include "rollout/outcome_recorder.hpp"
#include "rollout/rollout_run.hpp"

namespace cyclamen::rollout {

/// Callbacks of rollout_manager, implemented by its owner. Called on the decision task.
class rollout_output {
  public:
    virtual ~rollout_output() = default;

    /// Sends new counters or vetoes to peers. A message with vetoes is urgent.
    virtual void publish(const api::rollout_gossip& gossip) = 0;

    /// Asks for the new version to be loaded on the selected targets.
    virtual void order_loads(const model::rollout& declared) = 0;

    /// Called when a rollout has entered a new state, for operators.
    virtual void on_state(const rollout_report& report) = 0;
};

/// State of the fleet and of the targets, as this instance sees it.
struct fleet_status {
    /// Number of peers that were heard from in the last seconds, and of all that should be running.
    const std::size_t responsive_peers;
    const std::size_t expected_peers;
    /// Targets that aren't ready to serve their version.
    const std::set<core::target_name> not_ready;

    auto operator<=>(const fleet_status&) const = default;
};

/// The version that a request goes to.
struct routed_request {
    const core::version_name version;
    const model::rollout_key rollout;
    const arm_choice choice;

    auto operator<=>(const routed_request&) const = default;
};

/// Runs all rollouts of one instance. Does no I/O and reads no clock.
class rollout_manager final : private rollout_run_host {
  public:
    /// @param origin name and incarnation of this instance
    /// @param definition the chart `rollout`
    /// @param policy decides the shares and judges the versions
    /// @param output receives the callbacks; must outlive this object
    rollout_manager(api::evidence_origin origin, std::shared_ptr<const chart::chart> definition,
                    std::unique_ptr<share_policy> policy, rollout_output& output);

    /// Applies a new configuration. A rollout start that is declared unchanged continues.
    void configure(model::configuration_ptr configuration, core::wall_time now);

    /// Decides which version serves a request.
    /// @param service what the caller asks for
    /// @param labels labels of the client account
    /// @param request hash of the request
    /// @return the version, empty if no rollout covers this traffic
    [[nodiscard]] std::optional<routed_request> route(const core::service_name& service,
                                                      const model::label_set& labels,
                                                      std::uint64_t request,
                                                      core::wall_time now) const;

    /// @param labels labels of the client account
    /// @return the rollout start and the arm that requests of this version count for, empty if none
    [[nodiscard]] std::optional<routed_request> arm_of(const core::service_name& service,
                                                       const model::label_set& labels,
                                                       const core::version_name& version) const;

    void on_opened(const placed_attempt& attempt);
    void on_first_token(const placed_attempt& attempt, core::duration latency);
    void on_end(const placed_attempt& attempt, attempt_end end, core::wall_time now);
    void excuse(const placed_attempt& attempt, core::wall_time lost);

    /// Merges counters and vetoes of a peer. New vetoes have taken effect when it returns.
    void on_gossip(const api::rollout_gossip& gossip, core::wall_time now);

    /// Takes a version back at an operator's request.
    void take_back(const core::rollout_name& name, std::string why, core::wall_time now);

    /// Assesses all rollouts and publishes new counters. Must be called once a second.
    void review(const fleet_status& fleet, core::wall_time now);

    /// @return the recent counters and all vetoes, for a new peer
    [[nodiscard]] api::rollout_gossip full_state(core::wall_time now) const;

    [[nodiscard]] std::vector<rollout_report> reports() const;
    [[nodiscard]] const evidence& merged_evidence() const { return evidence_; }

  private:
    const api::evidence_origin origin_;
    std::shared_ptr<const chart::chart> definition_;
    std::unique_ptr<share_policy> policy_;
    rollout_output& output_;
    model::configuration_ptr configuration_;
    outcome_recorder recorder_;
    evidence evidence_;
    std::map<model::rollout_key, api::veto> vetoes_;
    std::map<model::rollout_key, std::unique_ptr<rollout_run>> runs_;

    void order_loads(const model::rollout& declared) override { output_.order_loads(declared); }
    void on_state(const rollout_report& report) override { output_.on_state(report); }

    void merge(const api::rollout_gossip& gossip);
    void raise_veto(const model::rollout_key& rollout, const finding& fault, core::wall_time now);
    bool take_over(const api::veto& veto, core::wall_time now);
    void review_run(rollout_run& run, const fleet_status& fleet, core::wall_time now);
    [[nodiscard]] double ready_share(const model::rollout& declared,
                                     const fleet_status& fleet) const;
    [[nodiscard]] rollout_run* find(const model::rollout_key& rollout);
};

} // namespace cyclamen::rollout
