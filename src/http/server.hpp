#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "http/http_types.hpp"
#include "http/message_reader.hpp"
#include "task/event_loop.hpp"

namespace cyclamen::http {

/// Receives what a server hears. Called on the thread of the task that owns the server.
class server_handler {
  public:
    virtual ~server_handler() = default;

    /// A whole request has arrived; it is to be answered once.
    virtual void on_request(exchange_id exchange, const request& received) = 0;

    /// The connection has ended before the answer; the exchange may no longer be used.
    virtual void on_disconnect(exchange_id exchange) = 0;
};

/// Limits of a server.
struct server_settings {
    const message_limits messages;
    /// Longest time from the first byte of a request to its last one.
    const core::duration request_timeout = std::chrono::seconds{30};
    /// Longest time that a connection may stay without a request.
    const core::duration idle_timeout = std::chrono::minutes{10};
    /// How long sent bytes may stay without an acknowledgement of the peer's machine.
    const core::duration unacknowledged_timeout = std::chrono::seconds{30};
    /// Bytes of answers that may wait for one peer; a connection past it is closed.
    const std::size_t max_unsent_bytes = 8 * 1024 * 1024;

    auto operator<=>(const server_settings&) const = default;
};

/// HTTP/1.1 server of one task.
class server {
  public:
    /// Binds an address and starts to listen.
    /// @param loop event loop of the owning task
    /// @param address where to listen
    /// @param settings limits
    /// @param handler receives the requests; outlives the server
    /// @return the server, or unavailable where the address can't be bound
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<server>>
    listen(task::event_loop& loop, const core::socket_address& address,
           const server_settings& settings, server_handler& handler);

    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts a response. No effect on an exchange that has gone.
    void send_head(exchange_id exchange, const response_head& head);

    /// Sends a part of the body, after send_head().
    /// @param exchange the exchange
    /// @param bytes the part, may be empty
    /// @param last true with the last part
    void send(exchange_id exchange, std::string_view bytes, bool last);

    /// Sends a whole response.
    void respond(exchange_id exchange, const response_head& head, std::string_view body);

    /// Closes the connection without finishing the response, which thus looks cut.
    void abort(exchange_id exchange);

    /// Replaces the limits, for requests and waits that begin from now on.
    void set_settings(const server_settings& settings);

    /// Announces with every answer that its connection closes.
    void disable_keep_alive();

    /// Accepts no further connections and closes idle ones.
    void stop_accepting();

    /// @return how many exchanges are under way
    [[nodiscard]] std::size_t open_exchanges() const;

  private:
    class implementation;
    explicit server(std::unique_ptr<implementation> created);
    std::unique_ptr<implementation> implementation_;
};

} // namespace cyclamen::http
