#pragma once

#include <memory>
#include <optional>

#include "chart/machine.hpp"
#include "routing/health_settings.hpp"
#include "routing/target_health_chart.hpp"

namespace cyclamen::routing {

/// Limits how many targets are ejected at the same time. Called by target_health on the decision
/// task.
class ejection_budget {
  public:
    virtual ~ejection_budget() = default;

    /// @return true if one more target may be ejected
    [[nodiscard]] virtual bool can_eject_another() const = 0;

    /// Records that a target was ejected (true) or that its ejection ended (false).
    virtual void on_ejection_changed(bool ejected) = 0;
};

/// Whether a target should get new work; lower values are preferred.
enum class readiness {
    ready,
    /// Lost an attempt recently: only if no target is ready.
    suspect,
    /// Only if all other targets are leaving.
    ejected,
    /// Gets no new work.
    leaving,
};

/// Health of one target as seen by this instance; runs the chart `target_health`. Used by a target
/// chooser on the decision task.
class target_health final : private chart::machine_host {
  public:
    /// @param settings limits; outlive this object
    /// @param definition the chart
    /// @param budget limits how many targets are ejected; outlives this object
    target_health(const health_settings& settings, std::shared_ptr<const chart::chart> definition,
                  ejection_budget& budget);
    ~target_health() override;
    target_health(const target_health&) = delete;
    target_health& operator=(const target_health&) = delete;

    void on_loss(core::instant now);
    void on_success(core::instant now);
    void on_leaving(core::instant now);
    void on_returned(core::instant now);

    /// @param now current instant
    /// @return whether the target should get new work
    [[nodiscard]] readiness current_readiness(core::instant now);

    /// @param now current instant
    /// @return fraction of the usual work that the target should get, in (0, 1]
    [[nodiscard]] double weight(core::instant now);

    /// @return name of the current chart state
    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }

  private:
    const health_settings& settings_;
    ejection_budget& budget_;
    chart::machine machine_;
    core::instant now_{};
    std::optional<core::instant> timer_deadline_;
    core::instant ramp_begun_{};
    double score_ = 0.0;
    std::uint32_t ejections_ = 0;
    std::uint32_t ramp_successes_ = 0;
    bool is_counted_ejected_ = false;

    void raise(target_health_event event, core::instant now);
    /// Raises `time_passed` if the timer of the current state has expired.
    void fire_due_timer(core::instant now);
    void update_ejection_count();
    /// @return length of the current ejection: doubles with each one in a row, up to the limit
    [[nodiscard]] core::duration ejection_time() const;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::routing
