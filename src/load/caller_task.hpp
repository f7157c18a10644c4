#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/socket_address.hpp"
#include "http/client.hpp"
#include "http/sse.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::load {

/// Identifies a request of one load.
using request_number = core::number<struct request_number_tag>;

/// Command: send one generation request.
struct send_generation {
    const request_number number;
    const core::socket_address instance;
    /// Bearer key of the client account.
    const std::string bearer;
    /// Request key (idempotency key), empty for none.
    const std::string key;
    const std::string model;
    const std::string prompt;
    const std::uint64_t max_tokens;
    const bool streaming;
    /// Last event id received on an earlier connection, to resume the stream after it; empty for
    /// none.
    const std::string last_event_id = {};

    auto operator<=>(const send_generation&) const = default;
};

/// Result of one request on one connection.
struct generation_result {
    const request_number number;
    /// HTTP status, 0 if no response was received.
    const int status;
    /// Text of the answer, as far as it was received.
    const std::string text;
    /// True if the answer ended normally: with the final stream event, or with a valid body.
    const bool complete;
    /// Error message, empty if there was no error.
    const std::string error;
    /// Time from sending to the first token.
    const core::duration first_token;
    /// Time from sending to the end of the response.
    const core::duration total;
    /// Longest gap between two chunks of a streamed answer.
    const core::duration longest_gap;
    /// Mean gap between two chunks, not counting the longest; zero for fewer than three chunks.
    const core::duration mean_gap;
    /// Arrival times of the first and the last chunk.
    const core::instant first_chunk_at;
    const core::instant last_chunk_at;
    /// Id of the last event received; the stream can be resumed after it.
    const std::string last_event_id;
    /// Number of attempts at engines that the answer took, 0 if it didn't end.
    const std::uint64_t attempts;

    auto operator<=>(const generation_result&) const = default;
};

/// HTTP client of the load generator: sends generation requests and reports the result of each.
class caller_task final : public task::basic_task<send_generation>, private http::client_listener {
  public:
    /// @param results receives one generation_result per request
    explicit caller_task(task::outbox_ptr<generation_result> results);
    ~caller_task() override;

  private:
    struct call_state {
        request_number number;
        bool streaming;
        core::instant sent_at;
        core::instant first_chunk_at{};
        core::instant last_chunk_at{};
        std::uint64_t chunks = 0;
        std::uint64_t attempts = 0;
        std::string last_event_id;
        int status = 0;
        bool complete = false;
        std::string text;
        std::string error;
        std::string body;
        core::duration first_token{};
        core::duration longest_gap{};
        http::sse_reader reader;
    };

    task::outbox_ptr<generation_result> results_;
    std::unique_ptr<http::client> client_;
    std::map<http::exchange_id, call_state> calls_;
    http::exchange_id last_exchange_;

    absl::Status on_start() override;
    void on_message(const send_generation& command) override;
    void on_stop() override;
    void on_head(http::exchange_id exchange, const http::response_head& head) override;
    void on_body(http::exchange_id exchange, std::string_view bytes) override;
    void on_end(http::exchange_id exchange, bool sent, const absl::Status& status) override;

    void handle_event(call_state& call, const http::sse_event& event);
    void parse_response_body(call_state& call);
    void record_chunk(call_state& call);
    [[nodiscard]] static core::duration mean_gap(const call_state& call);
};

} // namespace cyclamen::load
