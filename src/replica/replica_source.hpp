#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/cell.hpp"
#include "core/time.hpp"
#include "replica/source_choice.hpp"

namespace cyclamen::replica {

/// Events of the chart `news_source`, in the order of source_vocabulary().
enum class source_event : chart::symbol {
    settled,
    store_answered,
    tables_complete,
    store_lost,
    reader_answered,
    reader_failed,
    reader_due,
};

/// Guards of the chart `news_source`.
enum class source_guard : chart::symbol {
    may_ask_reader,
    may_ask_anyone,
    store_answers,
    reader_left,
    returns_to_store,
    reader_demoted,
    may_await_reader,
    former_source_left,
};

/// Actions of the chart `news_source`.
enum class source_action : chart::symbol {
    probe_store,
    follow_store,
    leave_store,
    list_readers,
    list_everyone,
    ask_next,
    ask_again,
    take_news,
    note_failure,
};

/// Timeouts of the chart `news_source`.
enum class source_timeout : chart::symbol {
    settle_time,
    ask_limit,
    feed_limit,
    reader_pause,
};

/// @return the events, guards, actions and timeouts of the chart `news_source`
[[nodiscard]] const chart::vocabulary& source_vocabulary();

/// Timeouts and limits of replication from other instances.
struct replica_source_settings {
    const core::instance_name self;
    const core::failure_domain_name domain;
    /// Address at which other instances ask this one.
    const core::socket_address feed;
    /// How long a reader may delay its answer until there is a change.
    const core::duration feed_wait = std::chrono::milliseconds{500};
    /// Time limit of a reader's answer, in addition to feed_wait.
    const core::duration answer_limit = std::chrono::milliseconds{400};
    /// Delay before an instance that reads the store looks for a reader; the other instances are
    /// listed by then.
    const core::duration settle_time = std::chrono::seconds{1};
    /// Minimum time between two searches for a reader: while the store is down, no reader can
    /// serve.
    const core::duration search_pause = std::chrono::seconds{2};
    /// Delay before a reader tries the store again, since it was lost.
    const core::duration return_pause = std::chrono::seconds{3};
    /// Pause before readers that don't serve yet are asked again, and how long that goes on before
    /// the store is read instead.
    const core::duration reader_pause = std::chrono::milliseconds{250};
    const core::duration max_reader_wait = std::chrono::milliseconds{1500};
    /// Maximum number of readers that are asked in one search.
    const std::size_t max_readers_asked = 3;
    /// Maximum number of other instances that are asked after them while the store doesn't answer.
    const std::size_t max_others_asked = 3;
    const source_choice_settings choice;
    /// Addresses to ask while no instance is known. If there are any, only instances at these
    /// addresses read the store for the others until then.
    const std::vector<core::socket_address> seeds;

    auto operator<=>(const replica_source_settings&) const = default;
};

/// Which tables are followed at the store.
enum class store_scope {
    nothing,
    /// The first table, and the list of instances while it is unknown.
    first_table,
    all_tables,
};

/// Callbacks of replica_source, implemented by its owner. Called on the replica task.
class replica_source_host {
  public:
    virtual ~replica_source_host() = default;

    /// Sets which tables are read from the store.
    virtual void follow_store(store_scope scope) = 0;

    /// @return true if the last request for the first table was answered
    [[nodiscard]] virtual bool store_answers() const = 0;

    /// Sends a query to a reader, replacing the one in progress.
    /// @param reader the reader
    /// @param wait how long it may delay its answer until there is a change
    virtual void ask(const feed_peer& reader, core::duration wait) = 0;

    /// Applies the reader's answer that is being handled.
    virtual void apply_answer() = 0;

    /// Cancels the query in progress.
    virtual void cancel_question() = 0;
};

/// Selects the source of an instance's tables, by running the chart `news_source`. A few instances
/// (readers) read the store and serve the tables to the others, so that the load on the store
/// doesn't grow with the fleet, and an instance that can't reach the store gets the tables from one
/// that can.
class replica_source final : private chart::machine_host {
  public:
    /// @param settings timeouts and limits
    /// @param definition the chart
    /// @param host callbacks; must outlive this object
    replica_source(replica_source_settings settings, std::shared_ptr<const chart::chart> definition,
                   replica_source_host& host);

    void start(core::instant now);
    void raise(source_event event, core::instant now);
    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const
    {
        return timers_.next_deadline();
    }

    /// Updates the list of instances.
    void set_members(std::vector<feed_peer> members);

    /// @return true if all tables are read from the store, so that this instance can serve others
    [[nodiscard]] bool reads_store() const { return machine_.is_in("serving"); }

    /// @return true if this instance is to read the store for the others, or no other one is known
    [[nodiscard]] bool is_reader() const;

  private:
    const replica_source_settings settings_;
    chart::machine machine_;
    replica_source_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    std::optional<core::instant> store_lost_at_;
    std::optional<core::instant> searched_at_;
    /// When the first of the readers that were asked in vain failed.
    std::optional<core::instant> readers_missed_at_;
    core::cell<source_plan> plan_;
    /// Instances to ask; those before next_ have been asked.
    std::vector<feed_peer> candidates_;
    std::size_t next_ = 0;
    /// The instance that answered last.
    std::optional<core::cell<feed_peer>> last_source_;
    /// Position of the next search among the instances that are no readers.
    std::size_t next_other_ = 0;

    /// @return readers, or the seeds if no instance is known
    [[nodiscard]] std::vector<feed_peer> known_readers() const;
    void list_readers();
    void list_everyone();
    [[nodiscard]] bool is_reader(const feed_peer& peer) const;
    [[nodiscard]] bool may_search() const;
    [[nodiscard]] const feed_peer& current_reader() const { return candidates_.at(next_ - 1); }

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::replica
