#pragma once

#include <memory>
#include <string_view>

#include <absl/status/status.h>

#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "http/http_types.hpp"
#include "task/event_loop.hpp"

namespace cyclamen::http {

/// Callbacks of client, implemented by its owner. Called on the thread of the task that owns the
/// client, never from within start() or cancel().
class client_listener {
  public:
    virtual ~client_listener() = default;

    /// The connection was established; its server may have read nothing yet.
    virtual void on_connected(exchange_id /*exchange*/) {}

    /// The status line and headers were received.
    virtual void on_head(exchange_id exchange, const response_head& head) = 0;

    /// A part of the body was received.
    virtual void on_body(exchange_id exchange, std::string_view bytes) = 0;

    /// The exchange has ended; no further callbacks follow for it.
    /// @param exchange the exchange
    /// @param sent false only if no byte of the request was sent
    /// @param status OK only if the complete response was received; not_found if the connection was
    ///        refused
    virtual void on_end(exchange_id exchange, bool sent, const absl::Status& status) = 0;
};

/// Time limits of the connections of a client.
struct client_settings {
    /// Time limit for establishing a connection.
    const core::duration connect_timeout = std::chrono::seconds{3};
    /// Time for which sent bytes may stay unacknowledged by the peer's TCP stack.
    const core::duration unacknowledged_timeout = std::chrono::seconds{3};

    auto operator<=>(const client_settings&) const = default;
};

/// HTTP client of one task. It opens one connection per exchange, so that bytes after a response
/// can never be taken for the response to another request.
class client {
  public:
    /// @param loop event loop of the owning task
    /// @param listener receives responses; must outlive the client
    /// @param settings time limits of connections
    client(task::event_loop& loop, client_listener& listener, client_settings settings = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request.
    /// @param exchange number chosen by the owner; must not be in use
    /// @param address address of the server
    /// @param sent the request; its host header defaults to the address
    void start(exchange_id exchange, const core::socket_address& address, const request& sent);

    /// Ends an exchange and closes its connection, without further callbacks. No effect if it has
    /// ended.
    void cancel(exchange_id exchange);

    /// @return number of open exchanges
    [[nodiscard]] std::size_t open_exchanges() const;

  private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace cyclamen::http
