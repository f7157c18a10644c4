#pragma once

#include <vector>

#include <absl/status/statusor.h>

#include "api/target_messages.hpp"

namespace cyclamen::http {

/// Path that reports the load of a target.
constexpr std::string_view load_path = "/load";
/// Path that reports changes of a target's cache; with `?after=N` only those after number N.
constexpr std::string_view cache_events_path = "/cache_events";

/// @param load load of a target
/// @return the JSON body of an answer to load_path
[[nodiscard]] std::string encode_load(const api::target_load_report& load);

/// @param body the JSON body of an answer to load_path
/// @param target the target that answered
/// @return the load, or invalid_argument
[[nodiscard]] absl::StatusOr<api::target_load_report> decode_load(std::string_view body,
                                                                  const core::target_name& target);

/// @param changes changes of the cache of a target
/// @return the JSON body of an answer to cache_events_path
[[nodiscard]] std::string encode_cache_events(const std::vector<api::target_cache_change>& changes);

/// @param body the JSON body of an answer to cache_events_path
/// @param target the target that answered
/// @return the changes, or invalid_argument
[[nodiscard]] absl::StatusOr<std::vector<api::target_cache_change>>
decode_cache_events(std::string_view body, const core::target_name& target);

} // namespace cyclamen::http
