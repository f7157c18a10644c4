#pragma once

#include <memory>
#include <optional>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/time.hpp"

namespace cyclamen::replica {

/// Events of the chart `copy_freshness`, in the order of freshness_vocabulary().
enum class freshness_event : chart::symbol { confirmed, outdated };

/// Guards of the chart `copy_freshness`.
enum class freshness_guard : chart::symbol { is_recent };

/// Actions of the chart `copy_freshness`.
enum class freshness_action : chart::symbol { start_probe, end_probe };

/// @return the events, guards, actions and timeouts of the chart `copy_freshness`
[[nodiscard]] const chart::vocabulary& freshness_vocabulary();

/// Callbacks of copy_freshness, implemented by its owner. Called on the replica task.
class freshness_host {
  public:
    virtual ~freshness_host() = default;

    /// Starts or ends reading the first table from the store beside the current source.
    virtual void probe_store(bool on) = 0;
};

/// Bounds the age of an instance's copy of the first table, by running the chart `copy_freshness`.
/// The time limits on the way of a change add up: a source may itself wait for the store, fall
/// silent, and be followed by another one. This limit holds for all of them together.
class copy_freshness final : private chart::machine_host {
  public:
    /// @param max_age time since the last confirmation after which the store is probed
    /// @param definition the chart
    /// @param host callbacks; must outlive this object
    copy_freshness(core::duration max_age, std::shared_ptr<const chart::chart> definition,
                   freshness_host& host);

    void start();

    /// Takes a confirmation that the copy is current.
    /// @param at when the store answered; ignored if an equally late confirmation is known
    /// @return true if it is the latest one
    bool confirm(core::instant at, core::instant now);

    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const
    {
        return timers_.next_deadline();
    }

    /// @return time since the last confirmation, empty if there was none
    [[nodiscard]] std::optional<core::duration> age(core::instant now) const;

  private:
    const core::duration max_age_;
    chart::machine machine_;
    freshness_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    std::optional<core::instant> confirmed_at_;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::replica
