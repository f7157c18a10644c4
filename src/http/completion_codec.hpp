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
/// The completions protocol in the style of OpenAI, towards callers and towards engines.

namespace cyclamen::http {

/// Which of the two forms of the protocol an exchange uses.
enum class completion_form { text, chat };

/// Decodes a caller's request.
/// @param caller number of the caller at the front task
/// @param received the HTTP request
/// @param form form that the path names
/// @return the request, or invalid_argument that lists every fault with its JSON pointer
[[nodiscard]] absl::StatusOr<api::generation_request>
decode_generation_request(core::caller_id caller, const request& received, completion_form form);

/// @param branch branch of the answer, may be empty
/// @param held how many tokens the caller has with the event
/// @return the id of an event, which a caller sends back as Last-Event-ID
[[nodiscard]] std::string encode_event_id(const std::string& branch, std::uint64_t tokens_held);

/// @return the body of one event of a streamed answer
[[nodiscard]] std::string encode_chunk(completion_form form, std::string_view model,
                                       std::string_view text);

/// What an answer took.
struct usage {
    const std::uint64_t completion_tokens;
    /// Attempts at engines; more than one where a loss was bridged.
    const std::uint64_t attempts;

    auto operator<=>(const usage&) const = default;
};

/// @return the body of the event that ends a streamed answer, before `[DONE]`
[[nodiscard]] std::string encode_final_chunk(completion_form form, std::string_view model,
                                             const usage& used);

/// @param data body of an event or of a whole answer
/// @return how many attempts the answer took, 0 where the body doesn't say
[[nodiscard]] std::uint64_t decode_attempts(std::string_view data);

/// @return the body of a whole answer
[[nodiscard]] std::string encode_completion(completion_form form, std::string_view model,
                                            std::string_view text, const usage& used);

/// @return the body of an error, with `not_run` where no target has run the request
[[nodiscard]] std::string encode_error(const core::failure& reason);

/// @return the HTTP status of an error
[[nodiscard]] int http_status_of(core::error_kind kind);

/// @return the request that opens an attempt at an engine
[[nodiscard]] request encode_attempt(const api::open_attempt& attempt);

/// @param data body of one event of an engine's stream
/// @return the text of its token, empty for an event without one; invalid_argument where it is none
[[nodiscard]] absl::StatusOr<std::string> decode_chunk(std::string_view data);

/// The event that ends every stream.
constexpr std::string_view done_marker = "[DONE]";

} // namespace cyclamen::http
