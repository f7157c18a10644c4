#pragma once

#include <memory>
#include <optional>

#include "http/message_reader.hpp"
#include "http/server.hpp"
#include "http/tcp_stream.hpp"
#include "limits/memory_ledger.hpp"

/// @file
/// State of one connection of a server.

namespace cyclamen::http::detail {

class server_connection;

using connection_number = core::number<struct connection_number_tag>;

/// Receives the events of connections. Implemented by the server.
class connection_owner {
  public:
    virtual ~connection_owner() = default;

    /// More input is available.
    virtual void on_bytes(server_connection& peer) = 0;
    /// The peer has read a part of the output.
    virtual void on_progress(server_connection& peer) = 0;
    /// All output was handed to the operating system.
    virtual void on_sent(server_connection& peer) = 0;
    virtual void on_end(server_connection& peer) = 0;
    /// The connection holds too much memory and must be closed.
    virtual void on_give_up(server_connection& peer, const limits::held_memory& held) = 0;
};

/// A connection that a server has accepted, with its request and response.
class server_connection final : private stream_listener, private limits::memory_holder {
  public:
    /// @param owner receives the events; must outlive the connection
    /// @param number number of the connection
    /// @param accepted the socket, not being read yet
    /// @param settings limits in force
    /// @param ledger counts the memory that the connection holds
    /// @param now current instant
    server_connection(connection_owner& owner, connection_number number, st_h2o_socket_t* accepted,
                      const server_settings& settings,
                      std::shared_ptr<limits::memory_ledger> ledger, core::instant now);
    ~server_connection() override;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    const connection_number number;
    tcp_stream stream;
    /// Start of the wait to which a time limit applies.
    core::instant waiting_since;
    /// When the peer last read a part of the output, or the wait began.
    core::instant progressed_at;
    std::unique_ptr<request_reader> reader;
    std::optional<exchange_id> exchange;
    bool head_sent = false;
    bool chunked = false;
    bool omits_body = false;
    bool is_head_request = false;
    bool accepts_chunked = true;
    bool keep_alive = true;
    bool continue_sent = false;
    /// A request was received on the connection.
    bool was_used = false;
    /// A timer is going to read the next request. There is one at most, since timers are memory
    /// that nothing counts.
    bool read_scheduled = false;
    /// Closes the connection as soon as all output is written.
    bool close_when_sent = false;
    /// Bytes that the request in progress holds.
    std::size_t request_bytes = 0;

    /// Passes input to the reader of the request in progress, which is created if there is none.
    void feed_reader(const server_settings& settings, core::instant now);

    /// Takes the complete request from the reader.
    [[nodiscard]] request take_request();

    /// Reports to the ledger what the connection holds.
    void count_memory(core::instant now);

    /// @return false while too much output waits for the peer to read another request
    [[nodiscard]] bool may_read() const { return ledger_->may_read(holder_); }

    /// Starts the time limits of a wait for the peer.
    void begin_wait(const server_settings& settings, core::instant now);

    /// @return true if the peer has exceeded the time limits. A limit that was in force when the
    /// wait began holds until the end of the wait, because the peer may rely on it.
    [[nodiscard]] bool is_expired(const server_settings& settings, core::instant now) const;

    [[nodiscard]] bool is_idle() const;

    /// @return true if no request has arrived and no answer is being read, so that the connection
    /// may be closed in favour of another one
    [[nodiscard]] bool may_be_displaced(core::instant now) const;

    /// @return true if the peer has sent further requests without waiting for an answer, and none
    /// of its requests is in progress
    [[nodiscard]] bool sends_ahead() const;

  private:
    connection_owner& owner_;
    const std::shared_ptr<limits::memory_ledger> ledger_;
    const limits::holder_id holder_;
    /// Lines of the head of the request that is being read.
    std::size_t field_lines_ = 0;
    /// Time limits that were in force when the wait began.
    core::duration request_timeout_;
    core::duration idle_timeout_;

    void on_bytes() override { owner_.on_bytes(*this); }
    void on_progress() override { owner_.on_progress(*this); }
    void on_sent() override { owner_.on_sent(*this); }
    void on_end(close_reason /*end*/) override { owner_.on_end(*this); }
    void give_up(const limits::held_memory& held) override { owner_.on_give_up(*this, held); }
};

} // namespace cyclamen::http::detail
