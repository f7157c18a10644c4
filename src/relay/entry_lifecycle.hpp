#pragma once

#include <memory>
#include <optional>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// Events of the chart `entry_lifecycle`, in the order of entry_lifecycle_vocabulary().
enum class entry_lifecycle_event : chart::symbol {
    ready,
    stop_ordered,
    lingered,
    idle_check_due,
    drain_overdue,
};

/// Guards of the chart `entry_lifecycle`.
enum class entry_lifecycle_guard : chart::symbol { work_open };

/// Actions of the chart `entry_lifecycle`.
enum class entry_lifecycle_action : chart::symbol {
    announce_serving,
    announce_leaving,
    refuse_connections,
    note_cut_work,
    end_process,
};

/// Timeouts of the chart `entry_lifecycle`.
enum class entry_lifecycle_timeout : chart::symbol { linger_time, idle_check, drain_limit };

/// @return the names that the code binds to the chart `entry_lifecycle`
[[nodiscard]] const chart::vocabulary& entry_lifecycle_vocabulary();

/// Limits of the end of an instance.
struct entry_lifecycle_settings {
    /// How long new connections are still taken: callers keep the address for a while.
    const core::duration linger_time = std::chrono::milliseconds{2500};
    /// How often the instance looks whether all requests have ended.
    const core::duration idle_check = std::chrono::milliseconds{200};
    /// Work that is still under way then is cut.
    const core::duration drain_limit = std::chrono::milliseconds{7500};

    auto operator<=>(const entry_lifecycle_settings&) const = default;
};

/// What the life of an instance leads to. Called by entry_lifecycle on the decision task.
class entry_lifecycle_host {
  public:
    virtual ~entry_lifecycle_host() = default;

    /// Callers are to be sent here, or elsewhere from now on.
    virtual void announce(bool serving) = 0;
    virtual void refuse_connections() = 0;
    [[nodiscard]] virtual bool has_work() const = 0;

    /// The process may end.
    /// @param work_cut true where work was still under way
    virtual void end_process(bool work_cut) = 0;
};

/// Runs the chart `entry_lifecycle` for this instance.
class entry_lifecycle final : private chart::actor {
  public:
    /// @param settings limits
    /// @param definition the chart
    /// @param host carries the steps out; outlives this object
    entry_lifecycle(entry_lifecycle_settings settings,
                    std::shared_ptr<const chart::chart> definition, entry_lifecycle_host& host);

    /// Enters the first state.
    void start(core::instant now);

    /// Applies an event.
    void raise(entry_lifecycle_event event, core::instant now);

    /// Raises the events of timers that have ended.
    void on_timer(core::instant now);

    /// @return when on_timer() should be called next
    [[nodiscard]] std::optional<core::instant> next_deadline() const { return timers_.next_due(); }

    /// @return true from the order to stop on
    [[nodiscard]] bool is_leaving() const { return machine_.is_in("leaving"); }

    /// @return true where callers are sent here
    [[nodiscard]] bool is_serving() const { return machine_.state_name() == "serving"; }

  private:
    const entry_lifecycle_settings settings_;
    chart::machine machine_;
    entry_lifecycle_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    bool work_cut_ = false;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::relay
