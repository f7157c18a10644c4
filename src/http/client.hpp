#pragma once

#include <memory>
#include <string_view>

#include <absl/status/status.h>

#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "http/http_types.hpp"
#include "task/event_loop.hpp"

namespace cyclamen::http {

/// Receives what a client hears. Called on the thread of the task that owns the client, never from
/// within start() or cancel().
class client_listener {
  public:
    virtual ~client_listener() = default;

    /// The status and headers have arrived.
    virtual void on_head(exchange_id exchange, const response_head& head) = 0;

    /// A part of the body has arrived.
    virtual void on_body(exchange_id exchange, std::string_view bytes) = 0;

    /// The exchange has ended; nothing follows.
    /// @param exchange the exchange
    /// @param sent false only where no byte of the request has left
    /// @param status OK only where the whole response has arrived
    virtual void on_end(exchange_id exchange, bool sent, const absl::Status& status) = 0;
};

/// Limits of the connections of a client.
struct client_settings {
    /// Longest time that a connection may take to be established.
    const core::duration connect_timeout = std::chrono::seconds{3};
    /// How long sent bytes may stay without an acknowledgement of the peer's machine.
    const core::duration unacknowledged_timeout = std::chrono::seconds{3};

    auto operator<=>(const client_settings&) const = default;
};

/// HTTP client of one task: one connection an exchange, so that bytes after an answer can never be
/// taken for the answer of another request.
class client {
  public:
    /// @param loop event loop of the owning task
    /// @param listener receives responses; outlives the client
    /// @param settings limits of connections
    client(task::event_loop& loop, client_listener& listener, client_settings settings = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request.
    /// @param exchange number that the owner gives; not in use already
    /// @param address where to send it
    /// @param sent the request; its host is the address unless it names one
    void start(exchange_id exchange, const core::socket_address& address, const request& sent);

    /// Ends an exchange and closes its connection; the listener hears nothing more of it. No effect
    /// where it has ended.
    void cancel(exchange_id exchange);

    /// @return how many exchanges are under way
    [[nodiscard]] std::size_t open_exchanges() const;

  private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace cyclamen::http
