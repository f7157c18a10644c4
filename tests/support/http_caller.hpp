#pragma once

#include <map>
#include <memory>
#include <string>

#include "http/client.hpp"
#include "task/basic_task.hpp"
#include "task/channel.hpp"

namespace cyclamen::test {

/// Asks http_caller to send an HTTP request.
struct send_request {
    /// Number of the request, unique in a test.
    const std::uint64_t number;
    const core::socket_address address;
    const http::request request;
};

/// Result of a request.
struct http_result {
    /// Number of the request.
    std::uint64_t number = 0;
    /// 0 if the connection ended without a response.
    int status = 0;
    std::string body;
};

/// Sends HTTP requests concurrently and queues their results.
class http_caller final : public task::basic_task<send_request>, private http::client_listener {
  public:
    http_caller() : basic_task{"http caller"} {}
    ~http_caller() override { stop(); }

    /// @return the next result, empty if there was none within the timeout
    std::optional<http_result> take(core::duration timeout) { return results_.take(timeout); }

  private:
    task::channel<http_result> results_;
    std::unique_ptr<http::client> client_;
    std::map<http::exchange_id, http_result> open_;

    absl::Status on_start() override
    {
        client_ =
            std::make_unique<http::client>(loop(), static_cast<http::client_listener&>(*this));
        return absl::OkStatus();
    }
    void on_message(const send_request& command) override
    {
        const http::exchange_id exchange{command.number};
        open_[exchange].number = command.number;
        client_->start(exchange, command.address, command.request);
    }
    void on_stop() override { client_.reset(); }
    void on_head(http::exchange_id exchange, const http::response_head& head) override
    {
        open_[exchange].status = head.status;
    }
    void on_body(http::exchange_id exchange, std::string_view bytes) override
    {
        open_[exchange].body += bytes;
    }
    void on_end(http::exchange_id exchange, bool /*sent*/, const absl::Status& /*status*/) override
    {
        std::ignore = results_.post(open_.extract(exchange).mapped());
    }
};

} // namespace cyclamen::test
