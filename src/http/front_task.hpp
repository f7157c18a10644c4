#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "api/caller_messages.hpp"
#include "core/cell.hpp"
#include "core/descriptor_limit.hpp"
#include "http/completion_codec.hpp"
#include "http/server.hpp"
#include "http/sse.hpp"
#include "task/basic_task.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::http {

/// Settings of the front task.
struct front_settings {
    const core::socket_address listen;
    /// Maximum size of a request body; larger ones are rejected.
    const std::size_t max_body_bytes;
    /// Maximum number of connections; above this new ones displace idle ones. The other descriptors
    /// are for targets and instances.
    const std::size_t max_connections = static_cast<std::size_t>(core::descriptor_limit()) / 2;

    auto operator<=>(const front_settings&) const = default;
};

/// Owns the connections of callers: decodes their requests for the decision task and encodes its
/// answers. Makes no decisions.
class front_task final : public task::basic_task<api::front_command>, private server_handler {
  public:
    /// @param settings settings of the task
    /// @param decisions inbox of the decision task
    /// @param host thread that the task runs on, or null for a thread of its own
    front_task(front_settings settings, task::outbox_ptr<api::front_event> decisions,
               task::task_host* host = nullptr);
    ~front_task() override;

  private:
    /// State for encoding the answer to one caller.
    struct caller_state {
        completion_form form;
        std::string model;
        bool streaming;
        bool head_sent = false;
        std::string buffered_text;
    };

    const front_settings settings_;
    task::ordered_sender<api::front_event> decisions_;
    std::unique_ptr<server> server_;
    std::map<core::caller_id, caller_state> callers_;
    /// Open calls to services.
    std::set<exchange_id> calls_;
    core::cell<api::admission> admission_{api::admission{"serving", std::nullopt, false}};

    absl::Status on_start() override;
    void on_message(const api::front_command& command) override;
    void on_stop() override;

    void on_request(exchange_id exchange, const request& received) override;
    void on_disconnect(exchange_id exchange) override;

    void on_completion(exchange_id exchange, const request& received, completion_form form);
    void on_call(exchange_id exchange, const request& received);
    void reject(exchange_id exchange, const core::failure& reason);
    /// Answers all open requests whose answers have not begun with a failure that doesn't say
    /// whether they have run.
    void fail_open_requests();

    void handle(const api::answer_tokens& answer);
    void handle(const api::answer_complete& answer);
    void handle(const api::answer_failed& answer);
    void handle(const api::instance_answer& answer);
    void handle(const api::metrics_answer& answer);
    void handle(const api::admission& admission);
    void handle(const api::operator_answer& answer);
    void handle(const api::operator_refusal& refusal);
    template <class Answer>
    void handle(const Answer& answer);

    void on_operator_request(exchange_id exchange, const request& received);

    void answer_health(exchange_id exchange);
    void report_when_idle();
    void handle(const api::call_answer& answer);
    void handle(const api::call_failed& answer);
};

} // namespace cyclamen::http
