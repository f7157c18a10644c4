#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chart/interpreter.hpp"

namespace cyclamen::chart {

/// What a model knows of the world beside the state of the chart: bits whose meaning the model
/// gives, such as "an attempt is open".
using fact_bits = std::uint64_t;

/// The answer that a guard gave in one step.
using guard_answer = std::pair<symbol, bool>;

/// One step that the explorer took.
struct explored_step {
    const state_index from;
    const symbol event;
    /// Guards in the order in which they were asked.
    const std::vector<guard_answer> answers;
    const step_result result;
    const fact_bits before;
    const fact_bits after;

    bool operator==(const explored_step&) const = default;
};

/// What a chart is checked against: how the world goes on beside the chart, and what must always
/// hold. The functions are pure. Called by explore() on the calling thread.
class exploration_model {
  public:
    virtual ~exploration_model() = default;

    /// @return the facts before the initial state is entered
    [[nodiscard]] virtual fact_bits initial_facts() const { return 0; }

    /// @return false for an event that can't come now; every event can come where this isn't
    ///         overridden, also one that the state ignores
    [[nodiscard]] virtual bool may_occur(symbol /*event*/, state_index /*state*/,
                                         fact_bits /*facts*/) const
    {
        return true;
    }

    /// @return the answers that a guard may give now; both where this isn't overridden
    [[nodiscard]] virtual std::vector<bool> possible_answers(symbol /*guard*/,
                                                             fact_bits /*facts*/) const
    {
        return {true, false};
    }

    /// @return the facts once the event has come, before guards are asked
    [[nodiscard]] virtual fact_bits after_event(symbol /*event*/, fact_bits facts) const
    {
        return facts;
    }

    /// @return the facts once a guard has answered
    [[nodiscard]] virtual fact_bits after_answer(const guard_answer& /*answer*/,
                                                 fact_bits facts) const
    {
        return facts;
    }

    /// @return the facts once an action is performed
    [[nodiscard]] virtual fact_bits after_action(symbol /*action*/, fact_bits facts) const
    {
        return facts;
    }

    /// Checks one step.
    /// @return what is broken, one text each; empty where all holds
    [[nodiscard]] virtual std::vector<std::string>
    violations_of(const explored_step& step) const = 0;
};

/// Something that must hold and doesn't.
struct violation {
    const std::string problem;
    /// The steps from the initial state to the one that breaks it, as `state --event--> state`.
    const std::vector<std::string> trace;

    bool operator==(const violation&) const = default;
};

/// What explore() found.
struct exploration {
    /// The states that were reached.
    const std::set<state_index> reached;
    /// How many pairs of state and facts were reached.
    const std::size_t situations;
    /// How many steps were checked.
    const std::size_t steps;
    /// The first violation of each kind, with the shortest trace to it.
    const std::vector<violation> violations;
    /// False where the bound stopped the search before everything was seen.
    const bool is_complete;

    bool operator==(const exploration&) const = default;
};

/// Takes every event in every situation with every answer of the guards, breadth first, until no
/// new pair of state and facts turns up.
/// @param drawn the chart
/// @param model the world beside it and what must hold
/// @param most_situations bound of the search
/// @return what was found
[[nodiscard]] exploration explore(const chart& definition, const exploration_model& model,
                                  std::size_t max_situations = 1'000'000);

} // namespace cyclamen::chart
