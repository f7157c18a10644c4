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
};

/// Guards of the chart `news_source`.
enum class source_guard : chart::symbol {
    may_ask_reader,
    may_ask_anyone,
    store_answers,
    reader_left,
    returns_to_store,
    reader_demoted,
};

/// Actions of the chart `news_source`.
enum class source_action : chart::symbol {
    probe_store,
    follow_store,
    leave_store,
    list_readers,
    ask_next,
    ask_again,
    take_news,
    note_failure,
};

/// Timeouts of the chart `news_source`.
enum class source_timeout : chart::symbol { settle_time, ask_limit, feed_limit };

/// @return the names that the code binds to the chart `news_source`
[[nodiscard]] const chart::vocabulary& source_vocabulary();

/// Limits of following other instances.
struct replica_source_settings {
    const core::instance_name self;
    const core::failure_domain_name domain;
    /// How long a reader may wait for a change before it answers.
    const core::duration feed_wait = std::chrono::milliseconds{500};
    /// Longest time that an answer of a reader takes beyond that.
    const core::duration answer_limit = std::chrono::milliseconds{400};
    /// Time after which an instance that reads the store looks for a reader: the members have
    /// announced themselves by then.
    const core::duration settle_time = std::chrono::seconds{1};
    /// Time between two searches for a reader: when the store is down none can serve.
    const core::duration search_pause = std::chrono::seconds{2};
    /// Time after which a reader that has lost the store tries it again.
    const core::duration return_pause = std::chrono::seconds{3};
    /// Readers that are asked in a row before the store is.
    const std::size_t max_asked = 3;
    const source_choice_settings choice;
    /// Where instances may be found before any is known.
    const std::vector<core::socket_address> seeds;

    auto operator<=>(const replica_source_settings&) const = default;
};

/// What of the store is followed.
enum class store_scope { nothing, first_table, all_tables };

/// Carries out what a source decides. Called on the replica task.
class replica_source_host {
  public:
    virtual ~replica_source_host() = default;

    /// Has tables read from the store, and others not any more.
    virtual void follow_store(store_scope scope) = 0;

    /// @return true where the first table's last call was answered
    [[nodiscard]] virtual bool store_answers() const = 0;

    /// Asks a reader, in place of the question that is under way.
    /// @param wait how long it may wait for a change
    virtual void ask(const feed_peer& reader, core::duration wait) = 0;

    /// The answer that is being handled is good.
    virtual void apply_answer() = 0;

    /// The question under way is not waited for any longer.
    virtual void cancel_question() = 0;
};

/// Decides where an instance has the tables from: runs the chart `news_source`. Few instances
/// read the store and hand on, so that calls of the store don't grow with the fleet, and an
/// instance that can't reach the store has the tables from one that can.
class replica_source final : private chart::actor {
  public:
    /// @param settings limits
    /// @param definition the chart
    /// @param host carries decisions out; outlives this object
    replica_source(replica_source_settings settings, std::shared_ptr<const chart::chart> definition,
                   replica_source_host& host);

    void start(core::instant now);
    void raise(source_event event, core::instant now);
    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const { return timers_.next_due(); }

    /// Takes in which instances there are.
    void set_members(std::vector<feed_peer> members);

    /// @return true where the store is read, and others may have the tables from here
    [[nodiscard]] bool reads_store() const;

  private:
    const replica_source_settings settings_;
    chart::machine machine_;
    replica_source_host& host_;
    chart::timer_set timers_;
    core::instant now_;
    core::instant store_left_at_;
    std::optional<core::instant> searched_at_;
    core::cell<source_plan> plan_;
    /// Readers to ask, of which those before next_ were asked.
    std::vector<feed_peer> candidates_;
    std::size_t next_ = 0;

    [[nodiscard]] std::vector<feed_peer> known_readers() const;
    [[nodiscard]] bool may_search() const;
    [[nodiscard]] const feed_peer& current_reader() const { return candidates_.at(next_ - 1); }

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::replica
