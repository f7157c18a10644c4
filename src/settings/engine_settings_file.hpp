#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "standin/engine_settings.hpp"

namespace cyclamen::settings {

/// Decodes the settings of a stand-in engine.
/// @param document the settings in JSON
/// @param source file name, for error messages
/// @return the settings, or invalid_argument that lists all errors with their JSON pointers
[[nodiscard]] absl::StatusOr<standin::engine_settings>
decode_engine_settings(const nlohmann::json& document, std::string_view source);

} // namespace cyclamen::settings
