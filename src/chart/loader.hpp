#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// Parses and validates a chart file.
/// @param text the file's contents
/// @param source file name, for error messages
/// @param bound_names names that code binds
/// @return the chart; invalid_argument with file, state and name if a name is unbound, a target is
///         unknown, a state is unreachable or transitions are ambiguous
[[nodiscard]] absl::StatusOr<std::shared_ptr<const chart>>
load(std::string_view text, std::string_view source, const vocabulary& bound_names);

/// Collects the names that a chart file uses, so that it can be validated or drawn without the code
/// that binds them.
/// @param text the file's contents
/// @param source file name, for error messages
/// @return the names in order of first use, or invalid_argument if the file violates the schema
[[nodiscard]] absl::StatusOr<vocabulary> used_names(std::string_view text, std::string_view source);

} // namespace cyclamen::chart
