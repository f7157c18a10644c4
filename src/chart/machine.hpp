#pragma once

#include <memory>
#include <string>

#include "chart/interpreter.hpp"

namespace cyclamen::chart {

/// What a machine needs from the code that it drives. Called on the thread of the owning task,
/// from within machine::raise().
class machine_host : public guard_source {
  public:
    /// Performs one step of the code.
    /// @param action index of the action in the vocabulary
    virtual void perform(symbol action) = 0;

    /// Starts a timer; when it ends the owner raises the event.
    virtual void start_timer(state_timeout timeout) = 0;

    /// Stops a timer that may or may not have ended.
    virtual void stop_timer(state_timeout timeout) = 0;
};

/// A running instance of a chart: the current state, and nothing else.
class machine {
  public:
    /// @param definition the chart to run
    explicit machine(std::shared_ptr<const chart> definition);

    /// Enters the initial state. Called once, before the first raise().
    void start(machine_host& host);

    /// Applies an event and performs what follows from it.
    /// Actions must not raise events on the same machine.
    /// @param event index of the event
    /// @param driven the code that the chart drives
    /// @return true where the state handles the event
    bool raise(symbol event, machine_host& host);

    [[nodiscard]] state_index current() const { return current_; }
    [[nodiscard]] const std::string& state_name() const { return definition_->at(current_).name; }
    [[nodiscard]] bool is_final() const { return definition_->at(current_).is_final; }
    [[nodiscard]] const chart& definition() const { return *definition_; }

    /// @param ancestor name of a state
    /// @return true where the machine is in it or in a state inside it
    [[nodiscard]] bool is_in(std::string_view ancestor) const;

  private:
    std::shared_ptr<const chart> definition_;
    state_index current_;
    bool is_applying_ = false;

    void apply(const step_result& result, machine_host& host);
};

} // namespace cyclamen::chart
