#pragma once

#include <memory>
#include <optional>

#include "api/peer_messages.hpp"
#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/time.hpp"
#include "membership/instance_chart.hpp"

namespace cyclamen::membership {

/// What the life of an instance leads to. Called on the thread of the decision task.
class lifecycle_host {
  public:
    virtual ~lifecycle_host() = default;

    /// Tells peers and callers what the instance does from now on.
    virtual void announce(api::member_state state) = 0;

    /// Has new work refused; work_finished() is to be called once none is left.
    virtual void refuse_work() = 0;

    /// The process may end.
    /// @param work_cut true where work was still under way
    virtual void end_process(bool work_cut) = 0;
};

/// Limits of a graceful shutdown.
struct lifecycle_settings {
    /// Work that is still under way after this is cut.
    const core::duration drain_limit = std::chrono::minutes{10};
    /// How long an instance without work goes on to say that it leaves.
    const core::duration departure_time = std::chrono::seconds{1};

    auto operator<=>(const lifecycle_settings&) const = default;
};

/// Runs the chart `instance` for this instance.
class instance_lifecycle final : private chart::actor {
  public:
    /// @param settings limits
    /// @param definition the chart `instance`
    /// @param host carries the steps out; outlives this object
    instance_lifecycle(lifecycle_settings settings, std::shared_ptr<const chart::chart> definition,
                       lifecycle_host& host);

    /// Enters the first state.
    void start(core::instant now);

    /// Applies an event.
    void raise(instance_event event, core::instant now);

    /// @return when on_timer() should be called next
    [[nodiscard]] std::optional<core::instant> next_deadline() const { return timers_.next_due(); }

    /// Raises the events of timers that have ended.
    void on_timer(core::instant now);

    /// @return true where new work may be taken
    [[nodiscard]] bool takes_work() const { return machine_.state_name() == "serving"; }

    /// @return true from the start of a shutdown on
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
