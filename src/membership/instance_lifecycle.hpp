#pragma once

#include <memory>
#include <optional>

#include "api/peer_messages.hpp"
#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/time.hpp"
#include "membership/instance_chart.hpp"

namespace cyclamen::membership {

/// Callbacks of instance_lifecycle, implemented by its owner. Called on the decision task.
class lifecycle_host {
  public:
    virtual ~lifecycle_host() = default;

    /// Announces the new state of this instance to peers and callers.
    virtual void announce(api::member_state state) = 0;

    /// Rejects new work from now on. The owner raises instance_event::work_finished once no work is
    /// left.
    virtual void refuse_work() = 0;

    /// Called when the process may exit.
    /// @param work_cut true if unfinished work was cut off
    virtual void end_process(bool work_cut) = 0;
};

/// Time limits of a graceful shutdown.
struct lifecycle_settings {
    /// Work that is still running after this time is cut off.
    const core::duration drain_limit = std::chrono::minutes{10};
    /// How long an instance that has finished its work keeps announcing that it is leaving.
    const core::duration departure_time = std::chrono::seconds{1};

    auto operator<=>(const lifecycle_settings&) const = default;
};

/// Lifecycle of this instance from start to exit. Runs the chart `instance`.
class instance_lifecycle final : private chart::machine_host {
  public:
    /// @param settings time limits of the shutdown
    /// @param definition the chart `instance`
    /// @param host receives the callbacks; must outlive this object
    instance_lifecycle(lifecycle_settings settings, std::shared_ptr<const chart::chart> definition,
                       lifecycle_host& host);

    /// Enters the initial state.
    void start(core::instant now);

    /// Raises an event in the chart.
    void raise(instance_event event, core::instant now);

    /// @return when on_timer() must be called next, empty if no timer is running
    [[nodiscard]] std::optional<core::instant> next_deadline() const
    {
        return timers_.next_deadline();
    }

    /// Raises the events of the timers that have expired.
    void on_timer(core::instant now);

    /// @return true if new work may be accepted
    [[nodiscard]] bool accepts_work() const { return machine_.state_name() == "serving"; }

    /// @return true while the instance shuts down
    [[nodiscard]] bool is_leaving() const { return machine_.is_in("leaving"); }

    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }

  private:
    const lifecycle_settings settings_;
    chart::machine machine_;
    lifecycle_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    bool work_cut_ = false;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
    [[nodiscard]] core::duration duration_of(instance_timeout timeout) const;
};

} // namespace cyclamen::membership
