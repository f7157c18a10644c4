#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "api/engine_messages.hpp"
#include "http/http_types.hpp"

/// @file
/// Naming, resuming and cancelling a running stream of an engine over HTTP.

namespace cyclamen::http {

/// Header that names a stream when it is opened.
inline constexpr std::string_view stream_name_header = "x-request-id";

/// @param sent a request
/// @param stream name of the stream that it opens
/// @return the request with the header for the name
[[nodiscard]] request with_stream_name(const request& sent, const std::string& stream);

/// @param stream name of a stream
/// @param after number of its tokens that are known
/// @return request for the tokens after those, over a new connection
[[nodiscard]] request encode_stream_resume(const std::string& stream, std::uint64_t after);

/// @param stream name of a stream
/// @return request that cancels the stream at the engine
[[nodiscard]] request encode_stream_cancel(const std::string& stream);

/// Stream and position of a request by encode_stream_resume() or encode_stream_cancel().
struct stream_query {
    const std::string stream;
    const std::uint64_t after;

    auto operator<=>(const stream_query&) const = default;
};

/// @param path path of a request, including the query
/// @return the stream and position, empty if the path does not name a stream
[[nodiscard]] std::optional<stream_query> decode_stream_query(std::string_view path);

} // namespace cyclamen::http
