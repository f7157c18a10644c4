#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "api/table_messages.hpp"
#include "core/socket_address.hpp"
#include "http/client.hpp"
#include "task/basic_task.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::table {

/// How the platform's table service is reached.
struct table_service_settings {
    /// Address of the table service; empty if the instance runs without one.
    const std::optional<core::socket_address> table;
    /// Time limit for an answer of the table service.
    const core::duration answer_limit = std::chrono::milliseconds{800};

    auto operator<=>(const table_service_settings&) const = default;
};

/// Owns the connections to the platform's table service. It makes no decisions: a request without
/// an answer within the time limit ends as table_failed, and a later answer is dropped.
class table_task final : public task::basic_task<api::table_command>,
                         private http::client_listener {
  public:
    /// @param settings address and time limit
    /// @param decisions inbox of the decision task
    /// @param host thread that the task runs on, null for a thread of its own
    table_task(table_service_settings settings, task::outbox_ptr<api::table_event> decisions,
               task::task_host* host = nullptr);
    ~table_task() override;

  private:
    /// State of an open request.
    struct exchange_state {
        api::table_command command;
        task::timer_id answer_timer;
        int status = 0;
        std::string body;
    };

    const table_service_settings settings_;
    task::ordered_sender<api::table_event> decisions_;
    std::unique_ptr<http::client> client_;
    std::map<http::exchange_id, std::unique_ptr<exchange_state>> exchanges_;
    http::exchange_id last_exchange_;

    absl::Status on_start() override;
    void on_message(const api::table_command& command) override;
    void on_stop() override;

    void on_head(http::exchange_id exchange, const http::response_head& head) override;
    void on_body(http::exchange_id exchange, std::string_view bytes) override;
    void on_end(http::exchange_id exchange, bool sent, const absl::Status& status) override;

    void on_answer_overdue(http::exchange_id exchange);
    void report_failure(const api::table_command& command, bool may_be_applied, std::string detail);
};

} // namespace cyclamen::table
