#include "chart/interpreter.hpp"

#include <algorithm>

namespace cyclamen::chart {

namespace {

/// @return the state and its ancestors, innermost first
std::vector<state_index> ancestry_of(const chart& definition, state_index index)
{
    std::vector<state_index> ancestry;
    std::optional<state_index> current = index;
    while (current.has_value()) {
        ancestry.push_back(*current);
        current = definition.at(*current).parent;
    }
    return ancestry;
}

/// Finds the first enabled transition for an event: innermost state first, then in file order.
const transition* find_transition(const chart& definition, state_index current, symbol event,
                                  const guard_source& guards)
{
    for (const state_index index : ancestry_of(definition, current)) {
        for (const transition& candidate : definition.at(index).transitions) {
            if (candidate.event != event) {
                continue;
            }
            if (!candidate.guard.has_value() || guards.holds(*candidate.guard)) {
                return &candidate;
            }
        }
    }
    return nullptr;
}

template <class Item>
void append_all(std::vector<Item>& to, const std::vector<Item>& from)
{
    for (const Item& item : from) {
        to.push_back(item);
    }
}

} // namespace

step_result enter(const chart& definition)
{
    std::vector<symbol> actions;
    std::vector<state_timeout> started;
    std::vector<state_index> ancestry = ancestry_of(definition, definition.initial());
    std::reverse(ancestry.begin(), ancestry.end());
    for (const state_index index : ancestry) {
        append_all(actions, definition.at(index).entry);
        append_all(started, definition.at(index).timeouts);
    }
    return step_result{definition.initial(), actions, {}, started, true};
}

step_result step(const chart& definition, state_index current, symbol event,
                 const guard_source& guards)
{
    const transition* chosen = find_transition(definition, current, event, guards);
    if (chosen == nullptr) {
        return step_result{current, {}, {}, {}, false};
    }
    if (!chosen->target.has_value()) {
        return step_result{current, chosen->actions, {}, {}, true};
    }

    const state_index next = *chosen->target;
    const std::vector<state_index> exited_path = ancestry_of(definition, current);
    std::vector<state_index> entered_path = ancestry_of(definition, next);
    std::reverse(entered_path.begin(), entered_path.end());

    std::vector<symbol> actions;
    std::vector<state_timeout> stopped;
    std::vector<state_timeout> started;
    // Exit every state that doesn't contain the next one, innermost first; the current state is
    // always exited.
    for (const state_index index : exited_path) {
        if (index == current || !definition.is_within(next, index)) {
            append_all(actions, definition.at(index).exit);
            append_all(stopped, definition.at(index).timeouts);
        }
    }
    append_all(actions, chosen->actions);
    // Enter every state that doesn't contain the current one, outermost first; the next state is
    // always entered.
    for (const state_index index : entered_path) {
        if (index == next || !definition.is_within(current, index)) {
            append_all(actions, definition.at(index).entry);
            append_all(started, definition.at(index).timeouts);
        }
    }
    return step_result{next, actions, stopped, started, true};
}

} // namespace cyclamen::chart
