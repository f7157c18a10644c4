#include "chart/dot.hpp"

#include "core/text.hpp"

namespace cyclamen::chart {

namespace {

std::string edge_label(const chart& definition, const transition& edge)
{
    std::string label = definition.bound_names().events()[edge.event];
    if (edge.guard.has_value()) {
        core::append(label, " [", definition.bound_names().guards()[*edge.guard], "]");
    }
    for (const symbol action : edge.actions) {
        core::append(label, "\\n/ ", definition.bound_names().actions()[action]);
    }
    return label;
}

} // namespace

std::string to_dot(const chart& definition)
{
    std::string text = core::concat("digraph ", definition.name(), " {\n  node [shape=box];\n");
    for (state_index index = 0; index < definition.states().size(); ++index) {
        const state& from = definition.at(index);
        core::append(text, "  ", from.name, from.is_final ? " [peripheries=2]" : "",
                     index == definition.initial() ? " [style=bold]" : "", ";\n");
        if (from.parent.has_value()) {
            core::append(text, "  ", from.name, " -> ", definition.at(*from.parent).name,
                         " [style=dotted,label=\"inside\"];\n");
        }
        for (const transition& edge : from.transitions) {
            const state& to = definition.at(edge.target.value_or(index));
            core::append(text, "  ", from.name, " -> ", to.name, " [label=\"",
                         edge_label(definition, edge), "\"];\n");
        }
    }
    return core::concat(text, "}\n");
}

} // namespace cyclamen::chart
