#pragma once

#include <string>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// Converts a chart to a Graphviz graph.
/// @param definition the chart
/// @return the graph in DOT format, with one node per state and one edge per transition
[[nodiscard]] std::string to_dot(const chart& definition);

} // namespace cyclamen::chart
