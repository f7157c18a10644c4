#pragma once

#include <nlohmann/json.hpp>

namespace cyclamen::model {

/// @return the JSON schema of declarations
[[nodiscard]] const nlohmann::json& configuration_schema();

} // namespace cyclamen::model
