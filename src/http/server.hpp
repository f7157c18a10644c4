#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <string_view>

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "http/http_types.hpp"
#include "http/message_reader.hpp"
#include "limits/connection_ends.hpp"
#include "limits/memory_ledger.hpp"
#include "task/event_loop.hpp"

namespace cyclamen::http {

/// Callbacks of server, implemented by its owner. Called on the thread of the task that owns it.
class server_handler {
  public:
    virtual ~server_handler() = default;

    /// A complete request was received; it must be answered once.
    virtual void on_request(exchange_id exchange, const request& received) = 0;

    /// The connection has ended before the response was complete. The exchange must no longer be
    /// used.
    virtual void on_disconnect(exchange_id exchange) = 0;
};

/// Size and time limits of a server.
struct server_settings {
    const message_limits messages;
    /// Maximum time from the first to the last byte of a request, and for sending the rest of a
    /// response.
    const core::duration request_timeout = std::chrono::seconds{30};
    /// Maximum time for which a connection may stay open without a request.
    const core::duration idle_timeout = std::chrono::minutes{10};
    /// Time for which sent bytes may stay unacknowledged by the peer's TCP stack.
    const core::duration unacknowledged_timeout = std::chrono::seconds{30};
    /// Maximum unsent response bytes per connection; the connection is closed above this.
    const std::size_t max_unsent_bytes = 8 * 1024 * 1024;
    /// Maximum unsent response bytes of all connections, unless a ledger is shared; above this
    /// those that limits::memory_ledger chooses are closed. Requests in progress may hold half as
    /// much.
    const std::size_t max_total_unsent_bytes = 64 * 1024 * 1024;
    /// Maximum number of connections; above this the one that has waited longest for a request is
    /// closed.
    const std::size_t max_connections = std::numeric_limits<std::size_t>::max();

    auto operator<=>(const server_settings&) const = default;
};

/// HTTP/1.1 server of one task.
class server {
  public:
    /// Binds an address and starts listening.
    /// @param loop event loop of the owning task
    /// @param address address to listen on
    /// @param settings size and time limits
    /// @param handler receives the requests; must outlive the server
    /// @param ledger counts the memory held for callers, together with that of other servers of
    ///        the thread; null for a ledger of its own
    /// @return the server, or unavailable if the address can't be bound
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<server>>
    listen(task::event_loop& loop, const core::socket_address& address,
           const server_settings& settings, server_handler& handler,
           std::shared_ptr<limits::memory_ledger> ledger = nullptr);

    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts a response. No effect if the exchange has ended.
    void send_head(exchange_id exchange, const response_head& head);

    /// Sends a part of the body, after send_head().
    /// @param exchange the exchange
    /// @param bytes the part; may be empty
    /// @param last true for the last part
    void send(exchange_id exchange, std::string_view bytes, bool last);

    /// Sends a complete response. No effect if the exchange has ended.
    void respond(exchange_id exchange, const response_head& head, std::string_view body);

    /// Closes the connection without completing the response, so that the peer sees it as
    /// truncated.
    void abort(exchange_id exchange);

    /// Replaces the limits. The limit of unsent bytes and longer time limits take effect at once,
    /// shorter ones with the next request or response of a connection, the others for requests and
    /// connections that begin after the call.
    void set_settings(const server_settings& settings);

    /// Sends `connection: close` with every response from now on, and closes the connection after
    /// it.
    void disable_keep_alive();

    /// Stops accepting connections, after those that are waiting to be accepted, and closes idle
    /// ones. Connections on which a request is on its way stay open.
    void stop_accepting();

    /// @return number of connections with a request that is being received or answered, with unsent
    ///         bytes, or so new that their first request is still expected
    [[nodiscard]] std::size_t busy_connections() const;

    /// @return connections that were ended by a limit so far
    [[nodiscard]] limits::connection_ends ended_by_limits() const;

    /// @return number of open exchanges
    [[nodiscard]] std::size_t open_exchanges() const;

  private:
    class implementation;
    explicit server(std::unique_ptr<implementation> created);
    std::unique_ptr<implementation> implementation_;
};

} // namespace cyclamen::http
