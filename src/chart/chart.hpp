#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chart/vocabulary.hpp"

namespace cyclamen::chart {

/// Index of a state in its chart.
using state_index = std::size_t;

/// A state's reaction to one event.
struct transition {
    const symbol event;
    /// Condition under which the transition is taken; empty for an unconditional transition.
    const std::optional<symbol> guard;
    /// State to enter; empty for an internal transition, which runs no entry or exit actions.
    const std::optional<state_index> target;
    const std::vector<symbol> actions;

    bool operator==(const transition&) const = default;
};

/// A timer that runs while a state is active and raises an event when it expires.
struct state_timeout {
    const symbol timeout;
    const symbol event;

    bool operator==(const state_timeout&) const = default;
};

/// A state of a chart. Events that it doesn't handle are passed to its parent.
struct state {
    const std::string name;
    const std::optional<state_index> parent;
    const std::vector<symbol> entry;
    const std::vector<symbol> exit;
    const std::vector<state_timeout> timeouts;
    const std::vector<transition> transitions;
    /// True for a final state, which has no transitions.
    const bool is_final;

    bool operator==(const state&) const = default;
};

/// A validated state chart with its vocabulary: immutable and shared by all machines that run it.
class chart {
  public:
    chart(std::string name, vocabulary bound_names, std::vector<state> states, state_index initial)
        : name_{std::move(name)},
          bound_names_{std::move(bound_names)}, states_{std::move(states)}, initial_{initial}
    {
    }

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const vocabulary& bound_names() const { return bound_names_; }
    [[nodiscard]] const std::vector<state>& states() const { return states_; }
    [[nodiscard]] const state& at(state_index index) const { return states_.at(index); }
    [[nodiscard]] state_index initial() const { return initial_; }

    /// @param state_name name of a state
    /// @return its index, empty if the chart has no such state
    [[nodiscard]] std::optional<state_index> find(std::string_view state_name) const;

    /// @param index a state
    /// @param ancestor another state
    /// @return true if `index` is `ancestor` or one of its descendants
    [[nodiscard]] bool is_within(state_index index, state_index ancestor) const;

    bool operator==(const chart&) const = default;

  private:
    std::string name_;
    vocabulary bound_names_;
    std::vector<state> states_;
    state_index initial_;
};

} // namespace cyclamen::chart
