#pragma once

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chart/library.hpp"
#include "core/cell.hpp"
#include "http/buffered_client.hpp"
#include "http/server.hpp"
#include "replica/copy_freshness.hpp"
#include "replica/feed_codec.hpp"
#include "replica/messages.hpp"
#include "replica/pace_exchange.hpp"
#include "replica/replica_listener.hpp"
#include "replica/replica_source.hpp"
#include "replica/restored_rows.hpp"
#include "replica/table_copy.hpp"
#include "task/basic_task.hpp"
#include "task/deadline_timer.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::replica {

/// Settings of the replica task.
struct replica_settings {
    /// Tables of the store that are replicated; the first one is used to probe the store.
    const std::vector<std::string> tables;
    /// The table that lists the instances, empty if none does.
    const std::string member_table = {};
    /// Address at which other instances ask for tables.
    const core::socket_address feed;
    const replica_source_settings source;
    /// Time since the store last confirmed the first table after which the store is probed.
    const core::duration max_age = std::chrono::milliseconds{1400};
    /// Number of tables, from the first one, that are then read from the store.
    const std::size_t probed_tables = 1;
    /// Time after the restore of the store in which its writers write lost rows again.
    const core::duration restore_settle_time = std::chrono::seconds{2};
    /// Maximum number of pending queries of other instances; more are rejected.
    const std::size_t max_waiting = 256;
    /// Maximum number of connections of other instances.
    const std::size_t max_connections = std::numeric_limits<std::size_t>::max();

    auto operator<=>(const replica_settings&) const = default;
};

/// Charts that the replica task runs.
struct replica_charts {
    const std::shared_ptr<const chart::chart> source;
    const std::shared_ptr<const chart::chart> freshness;

    /// @return the charts `news_source` and `copy_freshness` of the library, or why they are
    /// invalid
    [[nodiscard]] static absl::StatusOr<replica_charts> load(const chart::library& library);
};

/// Keeps a copy of the platform's tables, and owns the sockets by which instances replicate them
/// from each other.
class replica_task final : public task::basic_task<replica_message>,
                           private http::server_handler,
                           private replica_source_host,
                           private freshness_host {
  public:
    /// @param host thread that the task runs on
    /// @param settings settings of the task
    /// @param charts charts of the task
    /// @param listener receives changes of the tables; must outlive the task
    /// @param ledger counts the memory held for callers of all listeners of the thread; null for a
    ///        ledger of its own
    replica_task(task::task_host& host, replica_settings settings, const replica_charts& charts,
                 replica_listener& listener,
                 std::shared_ptr<limits::memory_ledger> ledger = nullptr);
    ~replica_task() override;

    /// Sets the receiver of follow_tables. Must be called before the host starts.
    void connect(task::outbox_ptr<follow_tables> store);

  private:
    /// A query of another instance that is held until there is a change.
    struct waiting_query {
        const feed_query query;
        const core::instant deadline;
    };

    const replica_settings settings_;
    const std::shared_ptr<limits::memory_ledger> ledger_;
    replica_listener& listener_;
    replica_source source_;
    copy_freshness freshness_;
    std::optional<task::ordered_sender<follow_tables>> store_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::buffered_client> questions_;
    std::map<std::string, table_copy> copies_;
    /// What was held back of each table since its last restore.
    std::map<std::string, restored_rows> restored_;
    std::map<core::instance_name, feed_peer> peers_;
    /// An update of the list of instances is being decoded.
    bool peers_pending_ = false;
    /// Tables for which the store has answered since it was last lost or left.
    std::set<std::string> answered_tables_;
    std::map<http::exchange_id, waiting_query> waiting_;
    /// The last query that was sent to a reader, and the reader's name, or else its address.
    http::exchange_id question_;
    core::cell<core::instance_name> asked_reader_{core::instance_name{}};
    /// What the source and the freshness of the copies need from the store.
    store_scope scope_ = store_scope::nothing;
    bool probing_ = false;
    std::unique_ptr<const feed_answer> answer_;
    pace_exchange paces_;
    task::deadline_timer timer_;

    absl::Status on_start() override;
    void on_message(const replica_message& message) override;
    void on_stop() override;
    void handle(const store_answered& answer);
    void handle(const store_failed& failure);
    void handle(const peers_listed& update);
    void handle(const paces_observed& report);

    void on_request(http::exchange_id exchange, const http::request& received) override;
    void on_disconnect(http::exchange_id exchange) override;

    void on_reader_answer(const absl::StatusOr<http::buffered_response>& answer);

    void follow_store(store_scope scope) override;
    [[nodiscard]] bool store_answers() const override;
    void ask(const feed_peer& reader, core::duration wait) override;
    void apply_answer() override;
    void cancel_question() override;
    void probe_store(bool on) override;

    void update_followed_tables();
    /// @return true if the table is read from the store
    [[nodiscard]] bool is_followed(std::size_t table) const;
    /// Tells the source that the store has answered, once the list of instances is known as well.
    void report_store_answer();
    [[nodiscard]] bool knows_peers() const;
    /// @return true if the copy of the table has changed
    bool apply(const table_update& update);
    void pass_settled_rows();
    void pass_paces();
    void confirm(const core::instance_name& source, core::instant at);
    [[nodiscard]] std::vector<table_state> known() const;
    [[nodiscard]] bool can_serve() const;
    [[nodiscard]] bool has_changes_for(const feed_query& query) const;
    void answer(http::exchange_id exchange, const feed_query& query);
    void reject(http::exchange_id exchange);
    /// Answers pending queries that have changes or whose time is up; rejects all if this instance
    /// can't serve.
    void answer_waiting_queries();
    void arm_timer();
};

} // namespace cyclamen::replica
