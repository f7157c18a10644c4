#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_types.hpp"

/// @file
/// Encodes responses of a server as HTTP/1.1.

namespace cyclamen::http {

/// How the body of a response ends.
struct response_framing {
    /// Length of the body, empty if it is sent in parts.
    const std::optional<std::size_t> length;
    const bool chunked;
    const bool omits_body;
    const bool keep_alive;

    auto operator<=>(const response_framing&) const = default;
};

/// @return true if responses with this status have no body
[[nodiscard]] bool has_no_body(int status);

/// @return the encoded status line and headers
[[nodiscard]] std::string encode_head(const response_head& head, const response_framing& framing);

/// @param bytes part of a body; may be empty
/// @param last true for the last part
/// @return the part as a chunk
[[nodiscard]] std::string encode_chunk(std::string_view bytes, bool last);

} // namespace cyclamen::http
