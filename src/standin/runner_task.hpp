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

/// How a stand-in for one of the users' runners is set up.
struct runner_settings {
    /// Name of its first life; a later one has a number behind it.
    const std::string name;
    const core::socket_address listen;
    /// Address that is listed, where another one leads here.
    const core::socket_address listed_address;
    const std::string service;
    const std::string failure_domain;
    /// Requests that run at once; further ones are turned away.
    const std::size_t slots = 64;
    /// Time that a plain request takes, or a stream to its first event.
    const core::duration work_time = std::chrono::milliseconds{20};
    /// Time between two events of a stream.
    const core::duration event_gap = std::chrono::milliseconds{20};
    const std::uint64_t stream_events = 60;
    /// How often the memory of a run is copied to its standby.
    const core::duration copy_interval = std::chrono::milliseconds{50};

    auto operator<=>(const runner_settings&) const = default;
};

/// What is wrong with a runner.
enum class runner_fault {
    none,
    /// Connections are reset and refused; a new life begins after it.
    killed,
    /// Nothing is read or sent, connections stay; a new life begins after it.
    dark,
    /// Every request is turned away without having run.
    shedding,
    /// Every request runs and fails.
    failing,
    /// Requests run and their answers are lost.
    losing,
    /// Answers break off before their end.
    cutting,
    /// Answers bear the id of another request.
    mixing,
    /// Bytes that are no answer.
    garbling,
    /// Answers have both a length and chunks, which disagree.
    ambiguous,
    /// The list says that it leaves; it goes on, and a new life begins after it.
    leaving,
};

/// Brings a fault about, or ends it.
struct set_runner_fault {
    const runner_fault kind;

    auto operator<=>(const set_runner_fault&) const = default;
};

/// Something a runner has seen or done.
struct runner_report {
    enum class event {
        /// A request begins to run.
        began,
        ended,
        /// Whoever sent a request that runs has closed its connection.
        disconnected,
        /// The list says that the runner leaves.
        leaving,
    };

    const event kind;
    /// Name of its life.
    const std::string runner;
    /// Id that the request bears.
    const std::string request;
    const std::string path;
    const std::string account;
    /// True for a request that goes on with the memory of an earlier run.
    const bool from_copy;
    /// Last event that the sender has, 0 for none.
    const std::uint64_t last_event;
    const core::instant at;

    auto operator<=>(const runner_report&) const = default;
};

/// @param seed what of a request decides its answer
/// @param number number of the event, from 1; 0 for a plain answer
/// @return the content that every runner gives
[[nodiscard]] std::string answer_content(std::string_view seed, std::uint64_t number);

/// A stand-in for one of the users' runners: plain requests, resumable streams of numbered events,
/// copies of a run's memory at another runner, reports of its load, and faults.
class runner_task final : public task::basic_task<set_runner_fault>,
                          private http::server_handler,
                          private http::client_listener {
  public:
    /// @param settings how it is set up
    /// @param observer hears what it runs; may be null
    /// @param store gets the row that lists it; may be null
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
    std::uint64_t started_ms_ = 0;
    std::map<http::exchange_id, std::unique_ptr<active_run>> runs_;
    /// Copies that other runners have sent: events that were made, by request.
    std::map<std::string, std::uint64_t> copies_;

    absl::Status on_start() override;
    absl::Status listen();
    void on_message(const set_runner_fault& command) override;
    void on_stop() override;
    void on_request(http::exchange_id exchange, const http::request& request) override;
    void on_gone(http::exchange_id exchange) override;
    void on_head(http::exchange_id /*exchange*/, const http::response_head& /*head*/) override {}
    void on_body(http::exchange_id /*exchange*/, std::string_view /*bytes*/) override {}
    void on_end(http::exchange_id /*exchange*/, bool /*sent*/,
                const absl::Status& /*status*/) override
    {
    }

    [[nodiscard]] std::string name() const;
    void begin_incarnation();
    void write_row(std::string_view state, const std::string& previous_name);
    void end_incarnation();
    void send_report(http::exchange_id exchange);
    void store_copy(http::exchange_id exchange, const http::request& request);
    void reject(http::exchange_id exchange, const std::string& id, int status);
    void start_run(http::exchange_id exchange, const http::request& request);
    void send_plain_answer(active_run& run);
    void send_event(active_run& run);
    void send_copy(active_run& run);
    void remove_run(http::exchange_id exchange);
    void report_event(runner_report::event kind, const active_run& run);
    void post_report(runner_report report);
    [[nodiscard]] std::vector<http::header> answer_fields(const active_run& run) const;
};

} // namespace cyclamen::standin
