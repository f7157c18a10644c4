#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "api/caller_messages.hpp"
#include "api/engine_messages.hpp"
#include "http/http_types.hpp"

/// @file
/// The OpenAI-style completions protocol, towards callers and towards engines.

namespace cyclamen::http {

/// Endpoint of the protocol that an exchange uses: text completions or chat completions.
enum class completion_form { text, chat };

/// Decodes a caller's request.
/// @param caller number of the caller at the front task
/// @param received the HTTP request
/// @param form endpoint that the path names
/// @return the request, or invalid_argument, which lists every fault with its JSON pointer
[[nodiscard]] absl::StatusOr<api::generation_request>
decode_generation_request(core::caller_id caller, const request& received, completion_form form);

/// @param branch branch of the answer; may be empty
/// @param tokens_held number of tokens that the caller holds after the event
/// @return the event id, which a caller sends back as Last-Event-ID
[[nodiscard]] std::string encode_event_id(const std::string& branch, std::uint64_t tokens_held);

/// @return the data of one event of a streamed answer
[[nodiscard]] std::string encode_chunk(completion_form form, std::string_view model,
                                       std::string_view text);

/// Resources that an answer used.
struct usage {
    const std::uint64_t completion_tokens;
    /// Number of attempts at engines; more than one if the answer was resumed after a loss.
    const std::uint64_t attempts;

    auto operator<=>(const usage&) const = default;
};

/// @return the data of the final event of a streamed answer, which precedes `[DONE]`
[[nodiscard]] std::string encode_final_chunk(completion_form form, std::string_view model,
                                             const usage& used);

/// @param data data of an event, or body of a complete answer
/// @return number of attempts that the answer took, 0 if not given
[[nodiscard]] std::uint64_t decode_attempts(std::string_view data);

/// @return the body of a complete answer
[[nodiscard]] std::string encode_completion(completion_form form, std::string_view model,
                                            std::string_view text, const usage& used);

/// @return the body of an error response; `not_run` is true if no target has run the request
[[nodiscard]] std::string encode_error(const core::failure& reason);

/// @return the HTTP status of an error
[[nodiscard]] int http_status_of(core::error_kind kind);

/// @return the request that opens an attempt at an engine
[[nodiscard]] request encode_attempt(const api::open_attempt& attempt);

/// @param data data of one event of an engine's stream
/// @return the text of its token, empty for an event without one; invalid_argument if it is not a
/// completion chunk
[[nodiscard]] absl::StatusOr<std::string> decode_chunk(std::string_view data);

/// Data of the event that ends every stream.
constexpr std::string_view done_marker = "[DONE]";

} // namespace cyclamen::http
