#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "standin/platform_task.hpp"
#include "standin/service_task.hpp"

namespace cyclamen::settings {

/// Decodes the settings of a stand-in platform.
/// @param document the settings in JSON
/// @param source file name, for error messages
/// @return the settings, or invalid_argument that lists all errors with their JSON pointers
[[nodiscard]] absl::StatusOr<standin::platform_settings>
decode_platform_stand_in(const nlohmann::json& document, std::string_view source);

/// Decodes the settings of a stand-in service. Parameters and result are as above.
[[nodiscard]] absl::StatusOr<standin::service_settings>
decode_service_stand_in(const nlohmann::json& document, std::string_view source);

} // namespace cyclamen::settings
