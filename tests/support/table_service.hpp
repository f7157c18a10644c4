#pragma once

#include <memory>

#include "http/server.hpp"
#include "http/table_codec.hpp"
#include "support/ports.hpp"
#include "table/memory_table.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::test {

/// A table service on loopback that can be made unavailable.
class table_service final : public task::basic_task<bool>, private http::server_handler {
  public:
    table_service() : basic_task{"table"}, address{free_address()} {}
    ~table_service() override { stop(); }

    /// Makes the service answer all requests with status 503, or normally again.
    void set_unavailable(bool unavailable)
    {
        const absl::Status posted = inbox()->post(unavailable);
        static_cast<void>(posted);
    }

    const core::socket_address address;

  private:
    table::memory_table table_;
    std::unique_ptr<http::server> server_;
    bool is_unavailable_ = false;

    absl::Status on_start() override
    {
        http::server_handler& self = *this;
        auto listening = http::server::listen(loop(), address, http::server_settings{}, self);
        if (!listening.ok()) {
            return listening.status();
        }
        server_ = *std::move(listening);
        return absl::OkStatus();
    }
    void on_message(const bool& unavailable) override { is_unavailable_ = unavailable; }
    void on_stop() override { server_.reset(); }

    void on_request(http::exchange_id exchange, const http::request& request) override
    {
        const auto command = http::decode_table_command(api::table_request{1}, request);
        if (is_unavailable_ || !command.ok()) {
            server_->respond(exchange, {503, {}}, "{}");
            return;
        }
        const api::table_event event = table_.apply(*command);
        server_->respond(exchange,
                         {http::table_status_of(event), {{"content-type", "application/json"}}},
                         http::encode_table_event(event));
    }
    void on_disconnect(http::exchange_id /*exchange*/) override {}
};

} // namespace cyclamen::test
