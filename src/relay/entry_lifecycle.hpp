#pragma once

#include <memory>
#include <optional>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// Events of the chart `entry_life`, in the order of entry_lifecycle_vocabulary().
enum class entry_lifecycle_event : chart::symbol {
    ready,
    stop_ordered,
    lingered,
    idle_check_due,
    drain_overdue,
    closing_ended,
};

/// Guards of the chart `entry_life`.
enum class entry_lifecycle_guard : chart::symbol { work_open };

/// Actions of the chart `entry_life`.
enum class entry_lifecycle_action : chart::symbol {
    announce_serving,
    announce_leaving,
    refuse_connections,
    note_cut_work,
    fail_open_requests,
    end_process,
};

/// Timeouts of the chart `entry_life`.
enum class entry_lifecycle_timeout : chart::symbol {
    linger_time,
    idle_check,
    drain_limit,
    closing_time,
};

/// @return the events, guards, actions and timeouts of the chart `entry_life`
[[nodiscard]] const chart::vocabulary& entry_lifecycle_vocabulary();

/// Timeouts of the shutdown of an instance.
struct entry_lifecycle_settings {
    /// How long new connections are still accepted, since callers cache the address for a while.
    const core::duration linger_time = std::chrono::milliseconds{2500};
    /// Interval at which the instance checks whether all requests have ended.
    const core::duration idle_check = std::chrono::milliseconds{200};
    /// Time limit of the whole shutdown.
    const core::duration drain_limit = std::chrono::milliseconds{7500};
    /// The last part of `drain_limit`, in which the requests that are still open are answered with
    /// a failure.
    const core::duration closing_time = std::chrono::milliseconds{200};

    auto operator<=>(const entry_lifecycle_settings&) const = default;
};

/// Callbacks of entry_lifecycle, implemented by its owner. Called on the decision task.
class entry_lifecycle_host {
  public:
    virtual ~entry_lifecycle_host() = default;

    /// Publishes whether this instance accepts requests.
    virtual void announce(bool serving) = 0;
    virtual void refuse_connections() = 0;
    [[nodiscard]] virtual bool has_work() const = 0;

    /// Ends all open requests as if their time were up.
    virtual void fail_open_requests() = 0;

    /// The process may exit.
    /// @param work_cut true if requests were still open
    virtual void end_process(bool work_cut) = 0;
};

/// Lifecycle of this instance; runs the chart `entry_life`.
class entry_lifecycle final : private chart::machine_host {
  public:
    /// @param settings timeouts
    /// @param definition the chart
    /// @param host callbacks; must outlive this object
    entry_lifecycle(entry_lifecycle_settings settings,
                    std::shared_ptr<const chart::chart> definition, entry_lifecycle_host& host);

    /// Enters the first state.
    void start(core::instant now);

    /// Applies an event.
    void raise(entry_lifecycle_event event, core::instant now);

    /// Raises the events of expired timers.
    void on_timer(core::instant now);

    /// @return when on_timer() must be called next, empty if no timer runs
    [[nodiscard]] std::optional<core::instant> next_deadline() const
    {
        return timers_.next_deadline();
    }

    /// @return true while the instance drains after a stop request
    [[nodiscard]] bool is_leaving() const { return machine_.is_in("leaving"); }

    /// @return time in which a request that is accepted now must be answered, empty before a stop
    ///         is ordered
    [[nodiscard]] std::optional<core::duration> time_for_requests(core::instant now) const;

    /// @return true if this instance is listed as accepting requests
    [[nodiscard]] bool is_serving() const { return machine_.state_name() == "serving"; }

  private:
    const entry_lifecycle_settings settings_;
    chart::machine machine_;
    entry_lifecycle_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    /// When open requests are ended; empty unless a stop was ordered.
    std::optional<core::instant> work_ends_at_;
    bool work_cut_ = false;

    [[nodiscard]] core::duration duration_of(entry_lifecycle_timeout timeout) const;
    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::relay
