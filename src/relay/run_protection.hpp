#pragma once

#include <memory>
#include <optional>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/cell.hpp"
#include "core/time.hpp"
#include "relay/run_copy.hpp"

namespace cyclamen::relay {

/// Events of the chart `run_protection`, in the order of protection_vocabulary().
enum class protection_event : chart::symbol {
    standby_lost,
    standby_found,
    standby_missing,
    seek_due,
    copy_made,
    copy_failed,
    renewal_due,
};

/// Actions of the chart `run_protection`.
enum class protection_action : chart::symbol { seek_standby, copy_run, keep_copy, drop_copy };

/// Timeouts of the chart `run_protection`.
enum class protection_timeout : chart::symbol { seek_pause, copy_limit, renewal_pause };

/// @return the events, actions and timeouts of the chart `run_protection`
[[nodiscard]] const chart::vocabulary& protection_vocabulary();

/// Timeouts of standby copies.
struct protection_settings {
    /// Delay before a stream without a standby looks for one again.
    const core::duration seek_pause = std::chrono::milliseconds{500};
    /// Time limit of a copy. Transferring a prompt takes some ten milliseconds.
    const core::duration copy_limit = std::chrono::seconds{1};
    /// Fraction of the copy retention after which a copy is renewed.
    const double renewal_fraction = 0.6;

    auto operator<=>(const protection_settings&) const = default;
};

/// Callbacks of run_protection, implemented by its owner. Called on the decision task.
class protection_host {
  public:
    virtual ~protection_host() = default;

    /// Looks for another standby.
    /// @return true if one was found; it receives the copies from now on
    virtual bool seek_standby() = 0;

    /// Orders a copy of the memory to the standby.
    virtual void copy_run() = 0;
};

/// Keeps a copy of a running stream's memory at a standby, by running the chart `run_protection`.
/// The target mirrors a run to its first standby from the start. A replacement standby gets copies
/// on demand, which expire and must be renewed.
class run_protection final : private chart::machine_host {
  public:
    /// @param mirror handle of the copy that the target maintains by mirroring
    /// @param copy_retention how long engines keep copies made on demand
    /// @param settings timeouts
    /// @param definition the chart
    /// @param host callbacks; must outlive this object
    run_protection(run_copy mirror, core::duration copy_retention, protection_settings settings,
                   std::shared_ptr<const chart::chart> definition, protection_host& host);

    void start(core::instant now);
    void on_standby_lost(core::instant now);

    /// @param copy the copy that was made, empty if copying failed
    void on_copied(const std::optional<run_copy>& copy, core::instant now);

    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const
    {
        return timers_.next_deadline();
    }

    /// @return the copy at the standby, empty if there is none
    [[nodiscard]] std::optional<run_copy> copy() const;

    /// @return the copy that its holder keeps until it is released or expires, empty if there is
    ///         none
    [[nodiscard]] std::optional<run_copy> held_copy() const;

  private:
    const run_copy mirror_;
    const core::duration copy_retention_;
    const protection_settings settings_;
    chart::machine machine_;
    protection_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    std::optional<protection_event> follow_up_;
    std::optional<core::cell<run_copy>> new_copy_;
    std::optional<core::cell<run_copy>> held_copy_;

    void raise(protection_event event, core::instant now);

    [[nodiscard]] bool holds(chart::symbol /*guard*/) const override { return false; }
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::relay
