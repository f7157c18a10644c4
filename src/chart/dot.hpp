#pragma once

#include <string>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// Draws a chart.
/// @param drawn the chart
/// @return a Graphviz graph: one node a state, one edge a transition
[[nodiscard]] std::string to_dot(const chart& definition);

} // namespace cyclamen::chart
