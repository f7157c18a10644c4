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

/// Answer to a question.
struct buffered_response {
    const response_head head;
    const std::string body;

    auto operator<=>(const buffered_response&) const = default;
};

/// Sends requests whose whole answer is waited for, each with a limit. Used by one task, on its
/// thread.
class buffered_client final : private client_listener {
  public:
    /// Hears the answer once: deadline_exceeded where the limit has passed, unavailable where the
    /// exchange failed.
    using callback = std::function<void(const absl::StatusOr<buffered_response>&)>;

    /// @param loop event loop of the owning task
    /// @param connections limits of connections
    buffered_client(task::event_loop& loop, const client_settings& connections);
    ~buffered_client() override;

    /// @param address where to ask
    /// @param asked the question
    /// @param limit longest time until the whole answer, empty where the owner watches the time
    /// @param heard hears the answer; never called from within ask()
    /// @return the question, for cancel()
    exchange_id send(const core::socket_address& address, const request& sent,
                     std::optional<core::duration> limit, callback on_response);

    /// Gives a question up; nothing is heard of it. No effect where it has ended.
    void cancel(exchange_id exchange);

  private:
    struct open_request {
        callback on_response;
        task::timer_id timer;
        std::optional<core::cell<response_head>> head;
        std::string body;
    };

    task::event_loop& loop_;
    client client_;
    std::map<exchange_id, std::unique_ptr<open_request>> pending_;
    exchange_id last_exchange_;

    void on_head(exchange_id exchange, const response_head& head) override;
    void on_body(exchange_id exchange, std::string_view bytes) override;
    void on_end(exchange_id exchange, bool sent, const absl::Status& status) override;
    void on_limit(exchange_id exchange);
};

} // namespace cyclamen::http
