#pragma once

#include <vector>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// Evaluates the guards of a chart. Called by step() on the thread of the task that owns the
/// machine.
class guard_source {
  public:
    virtual ~guard_source() = default;

    /// @param guard index of the guard in the vocabulary
    /// @return true if the condition holds now
    [[nodiscard]] virtual bool holds(symbol guard) const = 0;
};

/// The effects of one event.
struct step_result {
    /// The state after the event.
    const state_index state;
    /// Actions to perform, in order.
    const std::vector<symbol> actions;
    /// Timeouts of the exited states, whose timers must be stopped.
    const std::vector<state_timeout> stopped;
    /// Timeouts of the entered states, whose timers must be started.
    const std::vector<state_timeout> started;
    /// False if neither the state nor an ancestor handles the event; then nothing changes.
    const bool handled;

    bool operator==(const step_result&) const = default;
};

/// Enters the initial state.
/// @param definition the chart
/// @return the initial state, with the entry actions and timeouts of it and its ancestors
[[nodiscard]] step_result enter(const chart& definition);

/// Applies one event. Pure: the result depends only on the arguments.
/// @param definition the chart
/// @param current the state before the event
/// @param event index of the event in the vocabulary
/// @param guards evaluates the conditions
/// @return the state after the event, and the actions and timer changes to carry out
[[nodiscard]] step_result step(const chart& definition, state_index current, symbol event,
                               const guard_source& guards);

} // namespace cyclamen::chart
