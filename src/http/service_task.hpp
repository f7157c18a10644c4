#pragma once

#include <map>
#include <memory>

#include "api/call_messages.hpp"
#include "http/client.hpp"
#include "task/basic_task.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::http {

/// Owns the connections to plain services: sends calls and collects their complete responses. Makes
/// no decisions and never repeats a call.
class service_task final : public task::basic_task<api::service_command>, private client_listener {
  public:
    /// @param decisions inbox of the decision task
    /// @param host thread that the task runs on, or null for a thread of its own
    explicit service_task(task::outbox_ptr<api::service_event> decisions,
                          task::task_host* host = nullptr);
    ~service_task() override;

  private:
    struct call_state {
        api::call_attempt attempt;
        std::unique_ptr<response_head> head;
        std::string body;
    };

    task::ordered_sender<api::service_event> decisions_;
    std::unique_ptr<client> client_;
    std::map<exchange_id, call_state> calls_;
    std::map<api::call_attempt, exchange_id> exchanges_;
    exchange_id last_exchange_;

    absl::Status on_start() override;
    void on_message(const api::service_command& command) override;
    void on_stop() override;

    void on_head(exchange_id exchange, const response_head& head) override;
    void on_body(exchange_id exchange, std::string_view bytes) override;
    void on_end(exchange_id exchange, bool sent, const absl::Status& status) override;

    void handle(const api::open_call& command);
    void handle(const api::cancel_call& command);
};

} // namespace cyclamen::http
