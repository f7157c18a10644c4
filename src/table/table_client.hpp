#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "api/table_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::table {

/// Hears the answers to its own requests. Called by the table client on the decision task, never
/// from within commit(), read() or scan().
class table_listener {
  public:
    virtual ~table_listener() = default;

    /// @param answer the answer; `request` is the number that the client handed out
    /// @param now current instant
    virtual void on_table_answer(const api::table_event& answer, core::instant now) = 0;
};

/// How commits are gathered.
struct table_client_settings {
    /// Least time between two transactions that carry commits of this instance.
    const core::duration flush_period = std::chrono::milliseconds{100};
    /// Most rows of one transaction.
    const std::size_t max_rows = 200;

    auto operator<=>(const table_client_settings&) const = default;
};

/// How components reach the table service. It hands out request numbers, returns each answer to
/// who asked, and gathers commits: all that are asked for within one flush period leave as one
/// transaction. Where a condition fails, the commits that it belongs to hear of the conflict and
/// the others leave again, so that each commit looks like a transaction of its own. Opens no socket
/// and reads no clock. Used on the decision task.
class table_client {
  public:
    /// Takes commands towards the platform task.
    using sender = std::function<void(api::table_command)>;

    table_client(table_client_settings settings, sender send);

    /// Writes rows in one transaction.
    /// @param writes the rows; each row stands in it once
    /// @param listener hears table_committed, table_conflict (its own rows only) or table_failed
    /// @param now current instant
    /// @return number of the request
    api::table_request commit(std::vector<api::row_write> writes, table_listener& listener,
                              core::instant now);

    /// Reads rows by name.
    /// @return number of the request; the listener hears table_rows or table_failed
    api::table_request read(std::vector<api::row_key> keys, table_listener& listener);

    /// Reads the rows of a table whose names start with a prefix.
    /// @return number of the request; the listener hears table_rows or table_failed
    api::table_request scan(std::string table, std::string prefix, table_listener& listener);

    /// Takes an answer from the platform task.
    void on_event(const api::table_event& event, core::instant now);

    /// @return when on_time() should be called next, empty where no commit waits
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// Sends the commits that wait.
    void on_timer(core::instant now);

    /// @return how many transactions with writes have left
    [[nodiscard]] std::uint64_t transactions() const { return transactions_; }
    /// @return how many commits have been asked for
    [[nodiscard]] std::uint64_t commits() const { return commits_; }
    /// @return how many reads and scans have left
    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    /// @return how many requests had no usable answer
    [[nodiscard]] std::uint64_t failures() const { return failures_; }

  private:
    struct pending_commit {
        api::table_request request;
        std::vector<api::row_write> writes;
        table_listener* listener;
    };
    using batch = std::vector<pending_commit>;

    const table_client_settings settings_;
    const sender send_;
    std::deque<pending_commit> pending_;
    std::map<api::table_request, batch> batches_;
    std::map<api::table_request, table_listener*> read_listeners_;
    std::optional<core::instant> last_flush_;
    std::optional<core::instant> flush_deadline_;
    api::table_request last_request_;
    std::uint64_t transactions_ = 0;
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t failures_ = 0;

    [[nodiscard]] api::table_request next_request();
    void schedule_flush(core::instant now);
    [[nodiscard]] batch take_batch();
    void send_batch(batch gathered);
    void handle_batch_answer(const batch& answered, const api::table_event& event,
                             core::instant now);
    void handle_batch_conflict(const batch& answered, const api::table_conflict& conflict,
                               core::instant now);
};

} // namespace cyclamen::table
