#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "http/http_types.hpp"

/// @file
/// Readers of HTTP/1.1 messages over Boost.Beast's parser. They are strict where it matters for
/// framing: a message with two lengths, a bad chunk or an early end is an error, never a shorter
/// message.

namespace cyclamen::http {

/// Limits of the messages that a server accepts.
struct message_limits {
    /// Start line and headers of a request, in bytes.
    const std::size_t max_header_bytes = 16 * 1024;
    /// Body of a request, in bytes.
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

    /// Reads as much as belongs to this request.
    /// @param bytes what follows the bytes used so far
    /// @return how many were used; the others come again with more
    std::size_t feed(std::string_view bytes);

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_complete() const;

    /// @return 0 while the request is good, otherwise the status to refuse it with
    [[nodiscard]] int error_status() const;

    /// @return true where the peer waits for a go-ahead before it sends the body
    [[nodiscard]] bool expects_continue() const;

    /// @return true where the connection may be used for another request
    [[nodiscard]] bool keep_alive() const;

    /// @return true where the peer understands answers in chunks
    [[nodiscard]] bool accepts_chunked() const;

    /// @return the request; called once, when complete
    [[nodiscard]] request take();

  private:
    class parser;
    std::unique_ptr<parser> parser_;
};

/// Reads one response.
class response_reader {
  public:
    /// @param without_body true for the answer of a HEAD request
    explicit response_reader(bool without_body);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Reads as much as belongs to this response.
    /// @param bytes what follows the bytes used so far
    /// @return how many were used; the others come again with more
    std::size_t feed(std::string_view bytes);

    /// Says that the connection was closed in order; ends a response without a length.
    void finish();

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_complete() const;

    /// @return OK, or why the bytes are no response
    [[nodiscard]] absl::Status error() const;

    /// @return status and headers, where has_head()
    [[nodiscard]] response_head head() const;

    /// @return the part of the body that was read since the last call
    [[nodiscard]] std::string take_body();

  private:
    class parser;
    std::unique_ptr<parser> parser_;

    void restart(bool without_body);
};

/// @return the usual text of a status code
[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace cyclamen::http
