#pragma once

#include <map>
#include <memory>
#include <string>

#include "http/client.hpp"
#include "task/basic_task.hpp"
#include "task/channel.hpp"

namespace cyclamen::test {

/// Requests the text at a path of an address.
struct fetch_request {
    const core::socket_address address;
    const std::string path;

    auto operator<=>(const fetch_request&) const = default;
};

/// Fetches texts over HTTP, one at a time.
class text_fetcher final : public task::basic_task<fetch_request>, private http::client_listener {
  public:
    text_fetcher() : basic_task{"getter"} {}
    ~text_fetcher() override { stop(); }

    /// @return the body of the answer, empty if the request failed or took more than 10 s
    std::string get(const core::socket_address& address, const std::string& path)
    {
        if (!inbox()->post(fetch_request{address, path}).ok()) {
            return {};
        }
        return bodies_->take(std::chrono::seconds{10}).value_or(std::string{});
    }

  private:
    std::shared_ptr<task::channel<std::string>> bodies_ =
        std::make_shared<task::channel<std::string>>();
    std::unique_ptr<http::client> client_;
    http::exchange_id last_exchange_;
    std::string body_;

    absl::Status on_start() override
    {
        client_ =
            std::make_unique<http::client>(loop(), static_cast<http::client_listener&>(*this));
        return absl::OkStatus();
    }
    void on_message(const fetch_request& request) override
    {
        body_.clear();
        last_exchange_ = last_exchange_.next();
        client_->start(last_exchange_, request.address, http::request{"GET", request.path, {}, ""});
    }
    void on_stop() override { client_.reset(); }
    void on_head(http::exchange_id /*exchange*/, const http::response_head& /*head*/) override {}
    void on_body(http::exchange_id /*exchange*/, std::string_view bytes) override
    {
        body_ += bytes;
    }
    void on_end(http::exchange_id /*exchange*/, bool /*sent*/, const absl::Status& status) override
    {
        static_cast<void>(bodies_->post(status.ok() ? body_ : std::string{}));
    }
};

} // namespace cyclamen::test
