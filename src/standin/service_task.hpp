#pragma once

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/socket_address.hpp"
#include "http/server.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::standin {

/// Settings of a stand-in service.
struct service_settings {
    const core::socket_address listen;
    /// Duration of a run.
    const core::duration latency = std::chrono::milliseconds{5};

    auto operator<=>(const service_settings&) const = default;
};

/// Fault of a stand-in service.
enum class service_fault {
    /// No fault; held requests and answers proceed.
    none,
    /// Connections are reset and refused.
    killed,
    /// Requests are held before they run.
    paused_before,
    /// Requests run, and their answers are held.
    paused_after,
    /// Requests run, and their connections are closed without an answer.
    losing,
};

/// Starts a fault of the service, or ends it.
struct set_service_fault {
    const service_fault kind;

    auto operator<=>(const set_service_fault&) const = default;
};

/// @return the fault with this name, empty if there is none
[[nodiscard]] std::optional<service_fault> parse_service_fault(std::string_view text);

/// Stand-in for a plain service: counts the runs of each request by its `Idempotency-Key` and
/// reports them on `GET /admin/runs`. Faults are set by message or by `POST /admin/fault`.
class service_task final : public task::basic_task<set_service_fault>,
                           private http::server_handler {
  public:
    explicit service_task(service_settings settings);
    ~service_task() override;

    /// @return number of runs by key; may be called after stop() only
    [[nodiscard]] const std::map<std::string, std::uint64_t>& runs() const { return runs_; }

  private:
    struct held_request {
        http::exchange_id exchange;
        http::request request;
    };
    struct held_answer {
        http::exchange_id exchange;
        std::string body;
    };

    const service_settings settings_;
    std::unique_ptr<http::server> server_;
    service_fault fault_ = service_fault::none;
    std::map<std::string, std::uint64_t> runs_;
    std::vector<std::unique_ptr<held_request>> held_requests_;
    std::vector<held_answer> held_answers_;

    absl::Status on_start() override;
    void on_message(const set_service_fault& command) override;
    void on_stop() override;
    void on_request(http::exchange_id exchange, const http::request& request) override;
    void on_disconnect(http::exchange_id exchange) override;

    absl::Status listen();
    void on_admin(http::exchange_id exchange, const http::request& request);
    void run(http::exchange_id exchange, const http::request& request);
    void respond(http::exchange_id exchange, int status, const std::string& body);
    void apply(const set_service_fault& command);
    void release_held();
};

} // namespace cyclamen::standin
