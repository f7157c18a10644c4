#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/socket_address.hpp"
#include "http/server.hpp"
#include "standin/row_store.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::standin {

/// Settings of a stand-in store.
struct row_store_settings {
    const core::socket_address listen;
    /// Delay of every answer.
    const core::duration latency = std::chrono::milliseconds{4};
    /// Maximum number of rows in the answer to a read.
    const std::size_t max_rows = 500;

    auto operator<=>(const row_store_settings&) const = default;
};

/// Fault of a stand-in store.
enum class row_store_fault {
    none,
    /// Every call is answered with status 503 and has no effect.
    busy,
    /// Calls are neither executed nor answered.
    silent,
    /// Connections are refused.
    down,
    /// Writes take effect, and their connections are closed without an answer.
    losing,
    /// Answers take fifty times as long.
    slow,
};

/// Starts a fault of the store, or ends it.
struct set_row_store_fault {
    const row_store_fault kind;

    auto operator<=>(const set_row_store_fault&) const = default;
};

/// Writes rows as the operator and the runners do. Works during every fault.
struct write_rows {
    const std::vector<row_write> writes;

    auto operator<=>(const write_rows&) const = default;
};

/// Drops the history of changes, so that followers must read whole tables again.
struct drop_history {
    auto operator<=>(const drop_history&) const = default;
};

/// Takes the store away and lets it come back from a copy in a new era. Rows that the operator and
/// the runners wrote since the copy are written again, as new transactions.
struct restore_copy {
    /// Age of the copy at the moment at which the store goes away.
    const core::duration age;
    /// Time during which connections are refused; 0 if the store stays reachable.
    const core::duration away;
    /// Time from the return of the store until the rows are written again.
    const core::duration rewrite_delay = std::chrono::milliseconds{100};

    auto operator<=>(const restore_copy&) const = default;
};

/// Messages to the stand-in store.
using row_store_message = std::variant<set_row_store_fault, write_rows, drop_history, restore_copy>;

/// Stand-in for the row store that the code in `platform/` uses: conditional transactions, reads
/// and feeds of rows.
class row_store_task final : public task::basic_task<row_store_message>,
                             private http::server_handler {
  public:
    explicit row_store_task(row_store_settings settings);
    ~row_store_task() override;

    /// @return number of calls received, by path, without those during the fault `silent`; may be
    ///         called after stop() only
    [[nodiscard]] const std::map<std::string, std::uint64_t>& calls() const { return calls_; }

  private:
    /// A feed call that is waiting for a change.
    struct feed_call {
        std::string table;
        std::uint64_t after;
        task::timer_id timer;
    };

    /// Time at which a version was reached.
    struct version_time {
        std::uint64_t version;
        core::instant reached;
    };

    const row_store_settings settings_;
    row_store rows_;
    std::deque<version_time> version_times_;
    /// True while the store is away, until it returns from a copy.
    bool away_ = false;
    /// Number of restored copies whose lost rows have not been written again yet.
    std::size_t pending_rewrites_ = 0;
    /// Writes of the operator and the runners that follow on those rewrites.
    std::vector<std::vector<row_write>> unwritten_;
    std::unique_ptr<http::server> server_;
    row_store_fault fault_ = row_store_fault::none;
    std::map<http::exchange_id, feed_call> waiting_feeds_;
    std::map<std::string, std::uint64_t> calls_;

    absl::Status on_start() override;
    absl::Status listen();
    void on_message(const row_store_message& message) override;
    void on_stop() override;
    void handle(const set_row_store_fault& command);
    void handle(const write_rows& command);
    void handle(const drop_history& command);
    void handle(const restore_copy& command);
    void come_back(core::duration rewrite_delay);
    void rewrite_rows();
    void record_version();
    [[nodiscard]] std::uint64_t version_at(core::instant time) const;

    void on_request(http::exchange_id exchange, const http::request& request) override;
    void on_disconnect(http::exchange_id exchange) override;

    void on_transaction(http::exchange_id exchange, const http::request& request);
    void on_feed(http::exchange_id exchange, const std::map<std::string, std::string>& query);
    bool answer_feed(http::exchange_id exchange, const feed_call& call, bool allow_empty);
    void answer_waiting_feeds();
    void answer_rows(http::exchange_id exchange, const replica::table_update& rows);
    void answer(http::exchange_id exchange, int status, std::string body);
};

} // namespace cyclamen::standin
