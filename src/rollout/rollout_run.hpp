#pragma once

#include <memory>
#include <optional>
#include <string>

#include "chart/machine.hpp"
#include "core/cell.hpp"
#include "rollout/rollout_chart.hpp"
#include "rollout/share_policy.hpp"

namespace cyclamen::rollout {

/// Status of a rollout, for operators.
struct rollout_report {
    const model::rollout_key rollout;
    /// Name of the state, as in the chart.
    const std::string state;
    /// Share of the selected traffic, from 0 to 1.
    const double share;
    /// Why it is in this state: the evidence of a veto, or what limits the share.
    const std::string reason;
    /// When the state was entered.
    const core::wall_time since;

    auto operator<=>(const rollout_report&) const = default;
};

/// Callbacks of rollout_run, implemented by its manager. Called from within review() and
/// take_back().
class rollout_run_host {
  public:
    virtual ~rollout_run_host() = default;

    /// Asks for the new version to be loaded on the selected targets.
    virtual void order_loads(const model::rollout& declared) = 0;

    /// Called when the rollout has entered a new state, for operators.
    virtual void on_state(const rollout_report& report) = 0;
};

/// One start of a rollout on one instance. Runs the chart `rollout` and holds the current share.
class rollout_run final : private chart::machine_host {
  public:
    rollout_run(model::rollout declared, std::shared_ptr<const chart::chart> definition,
                rollout_run_host& host, core::wall_time now);

    /// Applies an assessment and raises the resulting event in the chart.
    /// @param current current assessment of the policy
    /// @param ready_share fraction of the selected targets that is ready, from 0 to 1
    /// @param may_grow false if too few peers are responsive; the share doesn't grow then
    /// @param now wall-clock time
    void review(const assessment& current, double ready_share, bool may_grow, core::wall_time now);

    /// Takes the version back: it gets no new requests. Only a new start of the rollout undoes it.
    void take_back(const api::veto& veto, core::wall_time now);

    /// Counts the open requests on the new version.
    void on_opened() { ++open_requests_; }
    void on_closed() { --open_requests_; }

    [[nodiscard]] const model::rollout& declared() const { return declared_; }
    [[nodiscard]] const exposure& current() const { return exposure_.get(); }
    [[nodiscard]] bool is_final() const { return machine_.is_final(); }
    [[nodiscard]] bool is_active() const { return machine_.is_in("active"); }
    [[nodiscard]] rollout_report report() const;

  private:
    const model::rollout declared_;
    rollout_run_host& host_;
    chart::machine machine_;
    core::cell<exposure> exposure_{{0, false}};
    double ready_share_ = 0;
    std::int64_t open_requests_ = 0;
    std::string reason_;
    core::wall_time now_;
    core::wall_time since_;
    std::optional<core::wall_time> watch_until_;

    void raise(rollout_event event);
    [[nodiscard]] exposure limit_growth(const exposure& wanted, bool may_grow) const;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::rollout
