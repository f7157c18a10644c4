#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/socket_address.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "standin/row_store_task.hpp"
#include "task/basic_task.hpp"
#include "task/outbox.hpp"

namespace cyclamen::standin {

/// Settings of a stand-in runner.
struct runner_settings {
    /// Name of the first incarnation; later ones append their number.
    const std::string name;
    const core::socket_address listen;
    /// Address in the list of runners; differs from `listen` if a proxy is in between.
    const core::socket_address listed_address;
    const std::string service;
    const std::string failure_domain;
    /// Maximum number of concurrent requests; further ones are rejected.
    const std::size_t slots = 64;
    /// Duration of a plain request, or time to the first event of a stream.
    const core::duration work_time = std::chrono::milliseconds{20};
    /// Time between two events of a stream.
    const core::duration event_gap = std::chrono::milliseconds{20};
    /// Number of the last event of a stream.
    const std::uint64_t stream_events = 60;
    /// Prompt part that makes the runner crash when it begins to answer; empty for none.
    const std::string deadly_part = {};
    /// Text in a request's body that makes the runner crash before it answers; empty for none.
    const std::string deadly_body = {};
    /// Time from a crash to the next incarnation.
    const core::duration restart_time = std::chrono::milliseconds{300};
    /// Time between two copies of a run to its standby.
    const core::duration copy_interval = std::chrono::milliseconds{50};

    auto operator<=>(const runner_settings&) const = default;
};

/// Fault of a stand-in runner.
enum class runner_fault {
    none,
    /// Connections are reset and refused; a new incarnation starts when the fault ends.
    killed,
    /// Connections stay open, but nothing is answered and all runs end; a new incarnation starts
    /// when the fault ends.
    dark,
    /// Every request is rejected without having run.
    shedding,
    /// The same, and the answer asks the sender to wait for a second.
    holding,
    /// Every request runs and fails.
    failing,
    /// Requests run, and their answers are lost.
    losing,
    /// Answers are cut off before their end.
    cutting,
    /// Streams start at their first event, whatever the request says.
    restarting,
    /// Answers carry the id of another request.
    mixing,
    /// Answers are not valid HTTP.
    garbling,
    /// Plain answers have a content-length that disagrees with their chunked body.
    ambiguous,
    /// The runner is listed as draining, says so in its answers and continues to serve; a new
    /// incarnation starts when the fault ends.
    leaving,
    /// The same, but it is not listed as draining.
    leaving_unlisted,
    /// Connections that are open when the fault begins carry no more answers; their runs go on, and
    /// new connections work.
    channels_silent,
    /// The runner reads and sends nothing, and its runs go on. What it has missed and what it has
    /// made follows when the fault ends.
    paused,
};

/// Starts a fault of a runner, or ends it.
struct set_runner_fault {
    const runner_fault kind;

    auto operator<=>(const set_runner_fault&) const = default;
};

/// An event at a runner, for its observer.
struct runner_report {
    enum class event {
        /// A request has started to run.
        began,
        /// A run has ended.
        ended,
        /// The sender of a running request has closed its connection; the run is cancelled.
        disconnected,
        /// The runner has been listed as draining.
        leaving,
        /// The request has crashed the runner.
        crashed,
    };

    const event kind;
    /// Name of the runner's incarnation.
    const std::string runner;
    /// Id in the request.
    const std::string request;
    const std::string path;
    const std::string account;
    /// True for a request that resumes from the standby copy of an earlier run.
    const bool from_copy;
    /// Number of the last event that the sender has, 0 for none.
    const std::uint64_t last_event;
    const core::instant at;

    auto operator<=>(const runner_report&) const = default;
};

/// @param seed text from the request that determines its answer
/// @param number number of the event, from 1; 0 for a plain answer
/// @return the content of the event or answer, the same at every runner
[[nodiscard]] std::string answer_content(std::string_view seed, std::uint64_t number);

/// Stand-in for a runner of the platform: serves plain requests and resumable streams of numbered
/// events, copies runs to standby runners and reports its load. Faults are set by message.
class runner_task final : public task::basic_task<set_runner_fault>,
                          private http::server_handler,
                          private http::client_listener {
  public:
    /// @param settings settings
    /// @param observer receives the events of its runs; may be null
    /// @param store receives the row that lists the runner; may be null
    runner_task(runner_settings settings, task::outbox_ptr<runner_report> observer,
                task::outbox_ptr<row_store_message> store);
    ~runner_task() override;

  private:
    struct active_run {
        http::exchange_id exchange;
        http::request request;
        std::string id;
        std::string seed;
        std::uint64_t next_event = 1;
        bool head_sent = false;
        /// Events that were made while the runner was paused.
        std::string withheld = {};
        /// The connection carries no more of the answer.
        bool is_silent = false;
        task::timer_id timer;
        task::timer_id copy_timer;
    };

    const runner_settings settings_;
    task::outbox_ptr<runner_report> observer_;
    task::outbox_ptr<row_store_message> store_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::client> client_;
    http::exchange_id last_copy_request_;
    runner_fault fault_ = runner_fault::none;
    std::uint64_t incarnation_ = 1;
    task::timer_id restart_timer_;
    std::uint64_t started_ms_ = 0;
    std::map<http::exchange_id, std::unique_ptr<active_run>> runs_;
    /// What has arrived while the runner was paused: requests, and the exchanges that have ended.
    std::vector<std::pair<http::exchange_id, http::request>> unread_requests_;
    std::vector<http::exchange_id> unread_ends_;
    /// Standby copies from other runners: number of the last event of the run, by request id.
    std::map<std::string, std::uint64_t> copies_;

    absl::Status on_start() override;
    absl::Status listen();
    void on_message(const set_runner_fault& command) override;
    void on_stop() override;
    void on_request(http::exchange_id exchange, const http::request& request) override;
    void on_disconnect(http::exchange_id exchange) override;
    void on_head(http::exchange_id /*exchange*/, const http::response_head& /*head*/) override {}
    void on_body(http::exchange_id /*exchange*/, std::string_view /*bytes*/) override {}
    void on_end(http::exchange_id /*exchange*/, bool /*sent*/,
                const absl::Status& /*status*/) override
    {
    }

    [[nodiscard]] std::string name() const;
    [[nodiscard]] bool is_leaving() const;
    void begin_incarnation();
    void write_row(std::string_view state, const std::string& previous_name);
    void end_incarnation();
    /// Reads what has arrived and sends what was made while the runner was paused.
    void resume();
    void send_report(http::exchange_id exchange);
    void store_copy(http::exchange_id exchange, const http::request& request);
    void reject(http::exchange_id exchange, const std::string& id, int status);
    void start_run(http::exchange_id exchange, const http::request& request);
    void send_plain_answer(active_run& run);
    void send_event(active_run& run);
    /// @return true if the next event of a run is its last
    [[nodiscard]] bool is_last(const active_run& run) const;
    void crash(active_run& run);
    void restart();
    void send_copy(active_run& run);
    void remove_run(http::exchange_id exchange);
    void report_event(runner_report::event kind, const active_run& run);
    void post_report(runner_report report);
    [[nodiscard]] std::vector<http::header> answer_fields(const active_run& run) const;
};

} // namespace cyclamen::standin
