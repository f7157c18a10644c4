#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chart/interpreter.hpp"

namespace cyclamen::chart {

/// The state of a model's environment, in addition to the state of the chart: bits whose meaning
/// the model defines, such as "an attempt is open".
using fact_bits = std::uint64_t;

/// A guard and the answer that it gave in one step.
using guard_answer = std::pair<symbol, bool>;

/// A step that the explorer took.
struct explored_step {
    const state_index from;
    const symbol event;
    /// Guards in the order in which they were evaluated.
    const std::vector<guard_answer> answers;
    const step_result result;
    const fact_bits before;
    const fact_bits after;

    bool operator==(const explored_step&) const = default;
};

/// A model that a chart is checked against: how the chart's environment behaves, and which
/// invariants must hold. The functions are pure. Called by explore() on the calling thread.
class exploration_model {
  public:
    virtual ~exploration_model() = default;

    /// @return the facts before the initial state is entered; none by default
    [[nodiscard]] virtual fact_bits initial_facts() const { return 0; }

    /// @return false for an event that can't occur now; by default every event can, including those
    ///         that the state ignores
    [[nodiscard]] virtual bool may_occur(symbol /*event*/, state_index /*state*/,
                                         fact_bits /*facts*/) const
    {
        return true;
    }

    /// @return the answers that a guard may give now; both by default
    [[nodiscard]] virtual std::vector<bool> possible_answers(symbol /*guard*/,
                                                             fact_bits /*facts*/) const
    {
        return {true, false};
    }

    /// @return the facts after the event occurred, before guards are evaluated
    [[nodiscard]] virtual fact_bits after_event(symbol /*event*/, fact_bits facts) const
    {
        return facts;
    }

    /// @return the facts after a guard was evaluated
    [[nodiscard]] virtual fact_bits after_answer(const guard_answer& /*answer*/,
                                                 fact_bits facts) const
    {
        return facts;
    }

    /// @return the facts after an action was performed
    [[nodiscard]] virtual fact_bits after_action(symbol /*action*/, fact_bits facts) const
    {
        return facts;
    }

    /// Checks the invariants after one step.
    /// @return a description of each violated invariant; empty if all hold
    [[nodiscard]] virtual std::vector<std::string>
    violations_of(const explored_step& step) const = 0;
};

/// An invariant that doesn't hold.
struct violation {
    const std::string problem;
    /// The steps from the initial state to the violation, each as `state --event--> state`.
    const std::vector<std::string> trace;

    bool operator==(const violation&) const = default;
};

/// The result of explore().
struct exploration {
    /// All states that were reached.
    const std::set<state_index> reached;
    /// Number of distinct pairs of state and facts that were reached.
    const std::size_t situations;
    /// Number of steps that were checked.
    const std::size_t steps;
    /// The first violation of each invariant, with a shortest trace to it.
    const std::vector<violation> violations;
    /// False if the search stopped at its bound before it covered all situations.
    const bool is_complete;

    bool operator==(const exploration&) const = default;
};

/// Explores a chart exhaustively, breadth first: raises every event in every situation with every
/// possible combination of guard answers, until there is no new situation (pair of state and
/// facts).
/// @param definition the chart
/// @param model its environment and its invariants
/// @param max_situations bound on the number of situations
/// @return the reached states and the violations
[[nodiscard]] exploration explore(const chart& definition, const exploration_model& model,
                                  std::size_t max_situations = 1'000'000);

} // namespace cyclamen::chart
