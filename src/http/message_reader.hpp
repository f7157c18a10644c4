#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "http/http_types.hpp"

/// @file
/// Readers of HTTP/1.1 messages, based on Boost.Beast's parser. Framing is checked strictly: a
/// message with two lengths, a malformed chunk or a premature end is an error, never a shorter
/// message. So is a response whose status is not between 100 and 599, or switches the protocol.

namespace cyclamen::http {

/// Size limits of the requests that a server accepts.
struct message_limits {
    /// Maximum size of the start line and headers, and of the trailers, in bytes.
    const std::size_t max_header_bytes = 16 * 1024;
    /// Maximum size of the body, in bytes.
    const std::size_t max_body_bytes = 4 * 1024 * 1024;

    auto operator<=>(const message_limits&) const = default;
};

/// Reads one request.
class request_reader {
  public:
    explicit request_reader(const message_limits& limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Reads the bytes that belong to this request.
    /// @param bytes input after the bytes consumed so far
    /// @return number of bytes consumed; the caller passes the rest again, followed by more
    std::size_t feed(std::string_view bytes);

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_complete() const;

    /// @return 0 while the request is valid, otherwise the HTTP status to reject it with
    [[nodiscard]] int error_status() const;

    /// @return true if the peer waits for `100 Continue` before it sends the body
    [[nodiscard]] bool expects_continue() const;

    /// @return true if the connection may be used for another request
    [[nodiscard]] bool keep_alive() const;

    /// @return true if the peer accepts chunked responses (HTTP/1.1 or later)
    [[nodiscard]] bool accepts_chunked() const;

    /// @return the request. Must be called once, when is_complete().
    [[nodiscard]] request take();

  private:
    class parser;
    std::unique_ptr<parser> parser_;
    /// HTTP status to reject the head with, 0 while it is valid. The head is checked once: a check
    /// with each part of a body would take time for each of its fields.
    int head_error_ = 0;
};

/// Reads one response.
class response_reader {
  public:
    /// @param without_body true for the response to a HEAD request
    explicit response_reader(bool without_body);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Reads the bytes that belong to this response.
    /// @param bytes input after the bytes consumed so far
    /// @return number of bytes consumed; the caller passes the rest again, followed by more
    std::size_t feed(std::string_view bytes);

    /// Handles an orderly close of the connection, which ends a response without a length.
    void finish();

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_complete() const;

    /// @return OK, or why the bytes are not a valid response
    [[nodiscard]] absl::Status error() const;

    /// @return status and headers. Requires has_head().
    [[nodiscard]] response_head head() const;

    /// @return the part of the body read since the last call
    [[nodiscard]] std::string take_body();

  private:
    class parser;
    std::unique_ptr<parser> parser_;
    int interim_responses_ = 0;

    void restart(bool without_body);
};

/// @return the reason phrase of a status code
[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace cyclamen::http
