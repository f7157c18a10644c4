#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "api/target_messages.hpp"
#include "http/client.hpp"
#include "task/basic_task.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::http {

/// Queries the load and cache changes of targets on command. It owns the connections for this,
/// which are separate from those that carry work. Makes no decisions.
class status_task final : public task::basic_task<api::target_command>, private client_listener {
  public:
    /// @param decisions inbox of the decision task
    /// @param host thread that the task runs on, or null for a thread of its own
    explicit status_task(task::outbox_ptr<api::target_event> decisions,
                         task::task_host* host = nullptr);
    ~status_task() override;

  private:
    enum class query_kind { load, cache };

    struct exchange_state {
        core::target_name target;
        query_kind kind;
        task::timer_id timer;
        int status = 0;
        std::string body = {};
    };

    static constexpr core::duration response_timeout = std::chrono::seconds{2};
    static constexpr std::size_t max_response_bytes = 1'000'000;

    task::ordered_sender<api::target_event> decisions_;
    std::unique_ptr<client> client_;
    std::map<exchange_id, exchange_state> exchanges_;
    /// Queries without a response yet; they are not sent again meanwhile.
    std::set<std::pair<core::target_name, query_kind>> pending_;
    exchange_id last_exchange_;

    absl::Status on_start() override;
    void on_message(const api::target_command& command) override;
    void on_stop() override;

    void on_head(exchange_id exchange, const response_head& head) override;
    void on_body(exchange_id exchange, std::string_view bytes) override;
    void on_end(exchange_id exchange, bool sent, const absl::Status& status) override;

    void send_query(const api::ask_target& command, query_kind kind, std::string path);
    void publish(const exchange_state& response);
    void report_unresponsive(exchange_id exchange, const std::string& detail);
};

} // namespace cyclamen::http
