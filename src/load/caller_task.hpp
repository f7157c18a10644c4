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

/// Numbers the requests of one load.
using request_number = core::number<struct request_number_tag>;

/// Send one generation request.
struct send_generation {
    const request_number number;
    const core::socket_address instance;
    /// Key of the client account.
    const std::string bearer;
    /// Key of the request, empty for none.
    const std::string key;
    const std::string model;
    const std::string prompt;
    const std::uint64_t max_tokens;
    const bool streaming;
    /// Id of the last event of an earlier connection, empty for none.
    const std::string last_event_id = {};

    auto operator<=>(const send_generation&) const = default;
};

/// What became of one request.
struct generation_result {
    const request_number number;
    /// HTTP status, 0 where no response came.
    const int status;
    /// Text of the answer, as far as it came.
    const std::string text;
    /// True where the answer ended as a whole answer does.
    const bool complete;
    /// Empty, or what went wrong.
    const std::string error;
    /// From sending to the first token.
    const core::duration first_token;
    /// From sending to the end.
    const core::duration total;
    /// Longest wait between two parts of a streamed answer.
    const core::duration longest_gap;
    /// Mean wait between two parts, the longest left out.
    const core::duration mean_gap;
    /// When the first and the last part came.
    const core::instant first_chunk_at;
    const core::instant last_chunk_at;
    /// Id of the last event, to go on after it.
    const std::string last_event_id;
    /// Attempts at engines that the answer took, 0 where it did not end.
    const std::uint64_t attempts;

    auto operator<=>(const generation_result&) const = default;
};

/// Sends requests as callers do, and reports what came of each.
class caller_task final : public task::basic_task<send_generation>, private http::client_listener {
  public:
    /// @param results where the results go
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
