#pragma once

#include <memory>
#include <string>

#include "chart/interpreter.hpp"

namespace cyclamen::chart {

/// Callbacks of a machine, implemented by its owner. Called on the thread of the owning task, from
/// within machine::start() and machine::raise().
class machine_host : public guard_source {
  public:
    /// Performs an action of the chart.
    /// @param action index of the action in the vocabulary
    virtual void perform(symbol action) = 0;

    /// Starts a timer; when it expires, the owner raises the event.
    virtual void start_timer(state_timeout timeout) = 0;

    /// Stops a timer, which may have expired already.
    virtual void stop_timer(state_timeout timeout) = 0;
};

/// A running instance of a chart. Holds only the current state.
class machine {
  public:
    /// @param definition the chart to run
    explicit machine(std::shared_ptr<const chart> definition);

    /// Enters the initial state. Called once, before the first raise().
    /// @param host callbacks of this machine
    void start(machine_host& host);

    /// Applies an event: stops the timers of exited states, performs the actions and starts the
    /// timers of entered states. Actions must not raise events on the same machine.
    /// @param event index of the event
    /// @param host callbacks of this machine
    /// @return true if the current state or an ancestor handles the event
    bool raise(symbol event, machine_host& host);

    [[nodiscard]] state_index current() const { return current_; }
    [[nodiscard]] const std::string& state_name() const { return definition_->at(current_).name; }
    [[nodiscard]] bool is_final() const { return definition_->at(current_).is_final; }
    [[nodiscard]] const chart& definition() const { return *definition_; }

    /// @param ancestor name of a state
    /// @return true if the machine is in that state or in one of its descendants
    [[nodiscard]] bool is_in(std::string_view ancestor) const;

  private:
    std::shared_ptr<const chart> definition_;
    state_index current_;
    bool is_applying_ = false;

    void apply(const step_result& result, machine_host& host);
};

} // namespace cyclamen::chart
