#pragma once

#include <compare>
#include <map>
#include <string>

#include <absl/status/statusor.h>

#include "http/client.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::http {

/// Command to send one request.
struct send_request {
    const exchange_id exchange;
    const core::socket_address address;
    const request sent;

    auto operator<=>(const send_request&) const = default;
};

/// Result of one request.
struct request_result {
    const exchange_id exchange;
    /// HTTP status, 0 if there was no response.
    const int status;
    const std::string body;
    /// Error message, empty on success.
    const std::string error;

    auto operator<=>(const request_result&) const = default;
};

/// Sends requests for a thread that does not belong to a task, such as the main thread of a
/// command.
class request_task final : public task::basic_task<send_request>, private client_listener {
  public:
    /// @param results receives the results
    explicit request_task(task::outbox_ptr<request_result> results);
    ~request_task() override;

  private:
    struct exchange_state {
        int status = 0;
        std::string body;
    };

    task::outbox_ptr<request_result> results_;
    std::unique_ptr<client> client_;
    std::map<exchange_id, exchange_state> exchanges_;

    absl::Status on_start() override;
    void on_message(const send_request& message) override;
    void on_stop() override;

    void on_head(exchange_id exchange, const response_head& head) override;
    void on_body(exchange_id exchange, std::string_view bytes) override;
    void on_end(exchange_id exchange, bool sent, const absl::Status& status) override;
};

/// Sends one request and waits for the response, on a thread that does not belong to a task.
/// @param address address of the server
/// @param sent the request
/// @param timeout time limit for the response
/// @return the response, or unavailable or deadline_exceeded
[[nodiscard]] absl::StatusOr<request_result> fetch(const core::socket_address& address,
                                                   const request& sent, core::duration timeout);

} // namespace cyclamen::http
