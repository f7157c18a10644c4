#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "api/operator_messages.hpp"
#include "http/http_types.hpp"

namespace cyclamen::http {

/// Prefix of the paths for operators.
constexpr std::string_view operator_path = "/v1/configuration";

/// @return bearer token of a request, empty if it has none
[[nodiscard]] std::string bearer_of(const request& received);

/// Decodes a request whose path starts with operator_path.
/// @return the request, or not_found or invalid_argument
[[nodiscard]] absl::StatusOr<api::operator_request>
decode_operator_request(core::caller_id caller, const request& received);

/// @return the body of a successful answer
[[nodiscard]] std::string encode_answer(const api::configuration_answer& answer);
[[nodiscard]] std::string encode_answer(const api::history_answer& answer);
[[nodiscard]] std::string encode_answer(const api::status_answer& answer);

} // namespace cyclamen::http
