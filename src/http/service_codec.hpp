#pragma once

#include <string_view>

#include <absl/status/statusor.h>

#include "api/call_messages.hpp"
#include "http/http_types.hpp"

/// @file
/// Calls to plain services, towards callers (`/services/NAME/path`) and towards targets.

namespace cyclamen::http {

/// Path prefix of every call.
constexpr std::string_view services_prefix = "/services/";

/// Decodes a call. Hop-by-hop headers and the caller's authorization are removed.
/// @param caller number of the caller at the front task
/// @param received the HTTP request; its path starts with services_prefix
/// @return the call, or invalid_argument
[[nodiscard]] absl::StatusOr<api::call_request> decode_call_request(core::caller_id caller,
                                                                    const request& received);

/// @return the request that is sent to a target
[[nodiscard]] request encode_call(const api::open_call& call);

/// @return the headers without the hop-by-hop ones
[[nodiscard]] std::vector<api::header_field> end_to_end_headers(const std::vector<header>& headers);

/// @return the head of the response to a caller
[[nodiscard]] response_head to_head(const api::service_response& response);

} // namespace cyclamen::http
