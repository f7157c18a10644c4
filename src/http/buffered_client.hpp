#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "core/cell.hpp"
#include "http/client.hpp"

namespace cyclamen::http {

/// A complete response.
struct buffered_response {
    const response_head head;
    const std::string body;

    auto operator<=>(const buffered_response&) const = default;
};

/// HTTP client that collects complete responses, each with an optional time limit. Used by one
/// task, on its thread.
class buffered_client final : private client_listener {
  public:
    static constexpr std::size_t default_max_response_bytes = 16 * 1024 * 1024;

    /// Called once per request: with the response, with deadline_exceeded if the time limit has
    /// passed, or with unavailable if the exchange failed or the response is too long.
    using callback = std::function<void(const absl::StatusOr<buffered_response>&)>;

    /// @param loop event loop of the owning task
    /// @param connections time limits of connections
    /// @param max_response_bytes maximum size of a response body
    buffered_client(task::event_loop& loop, const client_settings& connections,
                    std::size_t max_response_bytes = default_max_response_bytes);
    ~buffered_client() override;

    /// Sends a request.
    /// @param address address of the server
    /// @param sent the request
    /// @param limit time limit for the complete response; empty if the owner keeps the time itself
    /// @param on_response receives the result; never called from within send()
    /// @param on_connected called when the connection was established; may be empty
    /// @return number of the exchange, for cancel()
    exchange_id send(const core::socket_address& address, const request& sent,
                     std::optional<core::duration> limit, callback on_response,
                     std::function<void()> on_connected = {});

    /// Cancels a request without calling its callback. No effect if it has ended.
    void cancel(exchange_id exchange);

  private:
    struct open_request {
        callback on_response;
        std::function<void()> on_connected;
        task::timer_id timer;
        std::optional<core::cell<response_head>> head;
        std::string body;
    };

    task::event_loop& loop_;
    const std::size_t max_response_bytes_;
    client client_;
    std::map<exchange_id, std::unique_ptr<open_request>> pending_;
    exchange_id last_exchange_;

    void on_connected(exchange_id exchange) override;
    void on_head(exchange_id exchange, const response_head& head) override;
    void on_body(exchange_id exchange, std::string_view bytes) override;
    void on_end(exchange_id exchange, bool sent, const absl::Status& status) override;
    void on_limit(exchange_id exchange);
};

} // namespace cyclamen::http
