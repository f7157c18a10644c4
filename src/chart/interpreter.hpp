#pragma once

#include <vector>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// Answers the guards of a chart. Called by step() on the thread of the task that owns the machine.
class guard_source {
  public:
    virtual ~guard_source() = default;

    /// @param guard index of the guard in the vocabulary
    /// @return true where the condition holds now
    [[nodiscard]] virtual bool holds(symbol guard) const = 0;
};

/// What one event led to.
struct step_result {
    /// The state after the event.
    const state_index state;
    /// Actions in the order in which they are to be performed.
    const std::vector<symbol> actions;
    /// Timeouts of states that were left: their timers are to be stopped.
    const std::vector<state_timeout> stopped;
    /// Timeouts of states that were entered: their timers are to be started.
    const std::vector<state_timeout> started;
    /// False where no state handles the event; then nothing changes.
    const bool handled;

    bool operator==(const step_result&) const = default;
};

/// Enters the initial state.
/// @param machine the chart
/// @return the initial state with the entry actions of it and its ancestors
[[nodiscard]] step_result enter(const chart& definition);

/// Applies one event. Pure: the result depends on the arguments alone.
/// @param machine the chart
/// @param current the state before the event
/// @param event index of the event in the vocabulary
/// @param guards answers the conditions
/// @return the state after the event and what is to be done
[[nodiscard]] step_result step(const chart& definition, state_index current, symbol event,
                               const guard_source& guards);

} // namespace cyclamen::chart
