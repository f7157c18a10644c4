#pragma once

#include <nlohmann/json.hpp>

namespace cyclamen::chart {

/// @return the JSON schema of chart files
[[nodiscard]] const nlohmann::json& chart_schema();

} // namespace cyclamen::chart
