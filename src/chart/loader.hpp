#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// Reads and checks a chart file.
/// @param text the file's contents
/// @param source file name, for error messages
/// @param words names that code binds
/// @return the chart; invalid_argument with file, state and name where a name is unbound, a target
///         is unknown, a state can't be reached or two transitions are ambiguous
[[nodiscard]] absl::StatusOr<std::shared_ptr<const chart>>
load(std::string_view text, std::string_view source, const vocabulary& bound_names);

/// Collects the names that a chart file uses, so that it can be checked or drawn without the code
/// that binds them.
/// @param text the file's contents
/// @param source file name, for error messages
/// @return the names in order of first use, or invalid_argument where the file breaks the schema
[[nodiscard]] absl::StatusOr<vocabulary> used_names(std::string_view text, std::string_view source);

} // namespace cyclamen::chart
