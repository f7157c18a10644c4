#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "http/output_queue.hpp"
#include "task/event_loop.hpp"

struct st_h2o_socket_t;

namespace cyclamen::http {

/// Reason why a TCP connection has ended.
enum class close_reason {
    /// The peer closed it gracefully.
    closed,
    /// It was reset, timed out or could not be established.
    broken,
};

/// Callbacks of tcp_stream, implemented by its owner. Called on the thread of the loop, never from
/// within a call of the owner. A callback may destroy the stream.
class stream_listener {
  public:
    virtual ~stream_listener() = default;

    /// The connection is established.
    virtual void on_connected() {}

    /// More bytes are available in input().
    virtual void on_bytes() = 0;

    /// A part of the bytes written so far was handed to the operating system.
    virtual void on_progress() {}

    /// All bytes written so far were handed to the operating system.
    virtual void on_sent() {}

    /// The connection has ended; nothing more can be read.
    virtual void on_end(close_reason end) = 0;
};

/// A TCP connection over an h2o socket, with an unbounded write buffer that is written in parts.
/// Bytes that were not read yet stay with the operating system, which bounds them.
class tcp_stream {
  public:
    /// Takes ownership of an accepted socket.
    /// @param accepted the socket, not being read yet; h2o must not read it itself
    /// @param unacknowledged_timeout time for which sent bytes may stay unacknowledged
    /// @param listener receives events; must outlive the stream
    tcp_stream(st_h2o_socket_t* accepted, core::duration unacknowledged_timeout,
               stream_listener& listener);

    /// Starts connecting.
    /// @param loop event loop of the owning task
    /// @param address address of the peer
    /// @param unacknowledged_timeout time for which sent bytes may stay unacknowledged
    /// @param listener receives events; must outlive the stream
    /// @return the stream, or unavailable if no socket can be opened
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<tcp_stream>>
    connect(task::event_loop& loop, const core::socket_address& address,
            core::duration unacknowledged_timeout, stream_listener& listener);

    /// Closes the connection. Unsent bytes are dropped.
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Sends bytes after the pending ones.
    void write(std::string_view bytes);

    /// @return number of bytes not yet handed to the operating system
    [[nodiscard]] std::size_t unsent() const { return state_->in_flight_bytes + pending_.size(); }

    /// @return memory of the buffer behind unsent(), in bytes
    [[nodiscard]] std::size_t output_memory() const
    {
        return state_->in_flight_bytes + pending_.memory();
    }

    /// @return address of the peer; port 0 if the connection has ended
    [[nodiscard]] core::socket_address peer() const;

    /// @return descriptor of the socket
    [[nodiscard]] int descriptor() const;

    /// @return true if the peer's TCP stack has acknowledged all bytes written so far
    [[nodiscard]] bool is_acknowledged() const;

    /// @return true if the operating system holds bytes that were received but not read yet
    [[nodiscard]] bool has_unread_bytes() const;

    /// @return bytes received but not consumed
    [[nodiscard]] std::string_view input() const
    {
        return std::string_view{input_}.substr(input_begin_);
    }

    /// @return memory of the buffer behind input(), in bytes
    [[nodiscard]] std::size_t input_memory() const
    {
        return input_.empty() ? 0 : input_.capacity();
    }

    /// Removes the first bytes of input().
    void consume(std::size_t count);

    void start_reading();
    void stop_reading();

  private:
    /// What h2o's callbacks need; outlives the stream while a write is in progress.
    struct socket_state {
        /// Null once the stream is destroyed.
        tcp_stream* stream;
        /// Bytes that h2o is writing.
        std::vector<std::string> in_flight;
        std::size_t in_flight_bytes = 0;
    };

    st_h2o_socket_t* socket_;
    stream_listener& listener_;
    output_queue pending_;
    std::unique_ptr<socket_state> state_;
    std::string input_;
    /// Number of bytes of `input_` that were consumed already.
    std::size_t input_begin_ = 0;
    /// Set once nothing more can be read; the operating system reports an error only once.
    std::optional<close_reason> end_;
    /// Maximum number of bytes that are read before the listener is called.
    const std::size_t max_read_bytes_;
    bool connected_;

    tcp_stream(st_h2o_socket_t* socket, bool connected, core::duration unacknowledged_timeout,
               stream_listener& listener);
    void send_pending();
    /// Reads what has arrived, up to the maximum.
    /// @return why nothing more can be read, empty while the connection is open
    std::optional<close_reason> receive();

    static void on_connected(st_h2o_socket_t* socket, const char* error);
    static void on_readable(st_h2o_socket_t* socket, const char* error);
    static void on_written(st_h2o_socket_t* socket, const char* error);
};

} // namespace cyclamen::http
