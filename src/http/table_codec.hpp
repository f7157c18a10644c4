#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "api/table_messages.hpp"
#include "http/http_types.hpp"

/// @file
/// Protocol of the platform's table service: JSON over HTTP, see docs/PLATFORM.md.

namespace cyclamen::http {

constexpr std::string_view table_commit_path = "/v1/table/commit";
constexpr std::string_view table_read_path = "/v1/table/read";
constexpr std::string_view table_scan_path = "/v1/table/scan";

/// @return the HTTP request of a command
[[nodiscard]] request encode_table_command(const api::table_command& command);

/// Decodes a command at the service.
/// @param number number assigned to the command
/// @param received the HTTP request
/// @return the command, or invalid_argument
[[nodiscard]] absl::StatusOr<api::table_command> decode_table_command(api::table_request number,
                                                                      const request& received);

/// @return HTTP status of an answer of the service
[[nodiscard]] int table_status_of(const api::table_event& event);

/// @return body of an answer of the service
[[nodiscard]] std::string encode_table_event(const api::table_event& event);

/// Decodes an answer.
/// @param command the command that it answers
/// @param status HTTP status
/// @param body the complete body
/// @return the answer; table_failed if it can't be decoded
[[nodiscard]] api::table_event decode_table_event(const api::table_command& command, int status,
                                                  std::string_view body);

/// @return request number of a command
[[nodiscard]] api::table_request table_request_of(const api::table_command& command);

} // namespace cyclamen::http
