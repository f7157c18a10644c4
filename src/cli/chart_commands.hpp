#pragma once

#include <string>

namespace cyclamen::cli {

/// Checks every chart file of a folder against the vocabulary that the code binds to it.
/// @param folder path of the folder
/// @return exit status
int check_charts(const std::string& folder);

/// Prints a chart as a Graphviz graph.
/// @param chart_name name of the chart
/// @param folder folder of chart files, empty for the charts embedded in the binary
/// @return exit status
int print_chart(const std::string& chart_name, const std::string& folder);

} // namespace cyclamen::cli
