#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "api/table_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::table {

/// Receives the answers to its requests. Called by the table client on the decision task, never
/// from within commit(), read() or scan().
class table_listener {
  public:
    virtual ~table_listener() = default;

    /// @param answer the answer; its `request` is the number that the client returned for the
    /// request
    /// @param now current instant
    virtual void on_table_answer(const api::table_event& answer, core::instant now) = 0;
};

/// Is told when the table has lost acknowledged writes. Called by the table client on the decision
/// task.
class restore_listener {
  public:
    virtual ~restore_listener() = default;

    /// Called with the first answer of an era, before its listener gets it.
    virtual void on_table_restored(core::instant now) = 0;
};

/// How commits are batched.
struct table_client_settings {
    /// Minimum time between two transactions with commits of this instance.
    const core::duration flush_period = std::chrono::milliseconds{100};
    /// Maximum rows of one transaction. A single commit with more rows is sent on its own.
    const std::size_t max_rows = 200;

    auto operator<=>(const table_client_settings&) const = default;
};

/// Client of the table service for the components of the decision task. It numbers requests, passes
/// each answer to the listener of the request, and batches commits: all commits of one flush period
/// are sent as one transaction. If a condition fails, the commits that it belongs to receive the
/// conflict and the others are sent again, so that each commit behaves like a separate transaction.
/// Opens no socket and reads no clock. Used on the decision task.
class table_client {
  public:
    /// Sends a command to the platform task.
    using sender = std::function<void(api::table_command)>;

    /// @param settings how commits are batched
    /// @param send sends commands to the platform task
    table_client(table_client_settings settings, sender send);

    /// Writes rows in one transaction, together with other commits of the flush period.
    /// @param writes the rows, at least one; each row occurs once
    /// @param listener receives table_committed, table_conflict (only with its own rows) or
    /// table_failed
    /// @param now current instant
    /// @return number of the request
    api::table_request commit(std::vector<api::row_write> writes, table_listener& listener,
                              core::instant now);

    /// Reads rows by name. The listener receives table_rows or table_failed.
    /// @return number of the request
    api::table_request read(std::vector<api::row_key> keys, table_listener& listener);

    /// Reads the rows of a table whose names start with a prefix. The listener receives table_rows
    /// or table_failed.
    /// @return number of the request
    api::table_request scan(std::string table, std::string prefix, table_listener& listener);

    /// Adds a listener, which must outlive this object or its last event.
    void add_restore_listener(restore_listener& listener)
    {
        restore_listeners_.push_back(&listener);
    }

    /// Handles an answer from the platform task.
    void on_event(const api::table_event& event, core::instant now);

    /// @return when on_timer() should be called next, empty if no commit is pending
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// Sends the pending commits if the flush period has passed.
    void on_timer(core::instant now);

    /// @return number of transactions sent
    [[nodiscard]] std::uint64_t transactions() const { return transactions_; }
    /// @return number of calls of commit()
    [[nodiscard]] std::uint64_t commits() const { return commits_; }
    /// @return number of reads and scans sent
    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    /// @return number of requests that ended as table_failed
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
    std::vector<restore_listener*> restore_listeners_;
    /// Highest era of an answer.
    api::table_era era_;
    std::optional<core::instant> last_flush_;
    std::optional<core::instant> flush_deadline_;
    api::table_request last_request_;
    std::uint64_t transactions_ = 0;
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t failures_ = 0;

    [[nodiscard]] api::table_request next_request();
    void note_era(const api::table_event& event, core::instant now);
    void schedule_flush(core::instant now);
    [[nodiscard]] batch take_batch();
    void send_batch(batch gathered);
    void handle_batch_answer(const batch& answered, const api::table_event& event,
                             core::instant now);
    void handle_batch_conflict(const batch& answered, const api::table_conflict& conflict,
                               core::instant now);
};

} // namespace cyclamen::table
