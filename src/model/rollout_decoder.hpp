#pragma once

#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "model/rollout.hpp"
#include "model/service.hpp"
#include "model/target.hpp"
#include "json/schema.hpp"

namespace cyclamen::model {

/// Decodes the rollouts of declarations that are valid under the schema.
/// @param bodies JSON array of rollouts
/// @param services the declared services
/// @param targets the declared targets
/// @param errors receives the errors: unknown services and versions, invalid selectors and
/// deadlines, duplicate names, and several rollouts of one service
/// @return the rollouts; valid only if no errors were added
[[nodiscard]] std::vector<rollout> decode_rollouts(const nlohmann::json& bodies,
                                                   const std::vector<service>& services,
                                                   const std::vector<target>& targets,
                                                   std::vector<json::validation_error>& errors);

/// @param text a time in UTC as `YYYY-MM-DDTHH:MM:SSZ`
/// @return the time, or invalid_argument
[[nodiscard]] absl::StatusOr<core::wall_time> parse_wall_time(std::string_view text);

/// @return the time as `YYYY-MM-DDTHH:MM:SSZ`
[[nodiscard]] std::string to_string(core::wall_time time);

} // namespace cyclamen::model
