#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/engine_messages.hpp"
#include "http/client.hpp"
#include "http/sse.hpp"
#include "task/basic_task.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::http {

/// Owns the connections to engines: encodes attempts and decodes their streams. Makes no decisions.
class engine_client_task final : public task::basic_task<api::engine_command>,
                                 private client_listener {
  public:
    /// @param decisions inbox of the decision task
    /// @param host thread that the task runs on, or null for a thread of its own
    explicit engine_client_task(task::outbox_ptr<api::engine_event> decisions,
                                task::task_host* host = nullptr);
    ~engine_client_task() override;

  private:
    /// A connection that receives the stream of an attempt.
    struct connection_state {
        api::attempt_id attempt;
        /// Position of the next token that arrives on this connection.
        std::uint64_t next;
        int status = 0;
        bool finished = false;
        sse_reader reader;
        std::vector<std::string> new_tokens;
        std::string error;
    };

    /// An attempt and the connections that may receive its stream.
    struct attempt_state {
        core::socket_address address;
        /// Name of the stream at the engine, unique across instances.
        std::string stream;
        /// Position of the first token of the attempt.
        std::uint64_t first;
        /// Position after the last token that was delivered to the decision task.
        std::uint64_t next;
        /// The connection in use; empty if it has ended while a probe is pending.
        std::optional<exchange_id> current;
        /// The connection that requests the rest of the stream.
        std::optional<exchange_id> probe;
    };

    task::ordered_sender<api::engine_event> decisions_;
    const std::string stream_prefix_;
    std::unique_ptr<client> client_;
    std::map<api::attempt_id, attempt_state> attempts_;
    std::map<exchange_id, connection_state> connections_;
    exchange_id last_exchange_;

    absl::Status on_start() override;
    void on_message(const api::engine_command& command) override;
    void on_stop() override;

    void on_head(exchange_id exchange, const response_head& head) override;
    void on_body(exchange_id exchange, std::string_view bytes) override;
    void on_end(exchange_id exchange, bool sent, const absl::Status& status) override;

    void handle(const api::open_attempt& command);
    void handle(const api::cancel_attempt& command);
    void handle(const api::probe_attempt& command);

    exchange_id connect(const api::attempt_id& attempt, std::uint64_t next,
                        const core::socket_address& address, const request& sent);
    void cancel_at_engine(const attempt_state& cancelled);
    void read_event(connection_state& state, const sse_event& event);
    void report_loss(const api::attempt_id& attempt, api::loss_kind kind,
                     const std::string& detail);
    void close_attempt(const api::attempt_id& attempt);
    void close_exchange(std::optional<exchange_id>& exchange);
};

} // namespace cyclamen::http
