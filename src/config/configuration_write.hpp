#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "api/peer_messages.hpp"
#include "api/table_messages.hpp"
#include "chart/machine.hpp"
#include "config/configuration_write_chart.hpp"
#include "config/revision_codec.hpp"
#include "core/cell.hpp"
#include "core/failure.hpp"

namespace cyclamen::config {

/// What an operator wants to be accepted.
struct proposal {
    const std::string author;
    /// Tells this write from all others, of this instance and of others.
    const std::string nonce;
    const std::string declarations;
    /// The revision that it must follow; empty for whichever is the newest when it is read.
    const std::optional<core::revision> expected;

    auto operator<=>(const proposal&) const = default;
};

/// What a write needs and what it leads to. Called on the thread of the decision task.
class write_host {
  public:
    virtual ~write_host() = default;

    /// Sends a request to the table.
    /// @param rows rows to read
    /// @return the number of the request
    virtual api::table_request read(std::vector<api::row_key> rows) = 0;

    /// Sends a request to the table.
    /// @param writes what to write, all or nothing
    /// @return the number of the request
    virtual api::table_request commit(std::vector<api::row_write> writes) = 0;

    /// The configuration was accepted: it was read back.
    virtual void take_over(const api::configuration_copy& accepted) = 0;

    /// Answers the operator that it was accepted. Nothing else follows.
    virtual void accepted(const api::configuration_copy& accepted) = 0;

    /// Answers the operator that it was not accepted and never will be or, with the kind
    /// outcome_unknown, that this could not be found out. Nothing else follows.
    virtual void refused(const core::failure& reason) = 0;

    /// @return the current civil time
    [[nodiscard]] virtual core::wall_time wall() const = 0;
};

/// Limits of a write.
struct write_settings {
    /// Longest wait for the newest revision.
    const core::duration write_limit = std::chrono::seconds{5};
    /// Longest time spent on finding out what became of a write.
    const core::duration doubt_limit = std::chrono::seconds{60};
    /// Time between two attempts to reach the table.
    const core::duration retry_pause = std::chrono::milliseconds{500};

    auto operator<=>(const write_settings&) const = default;
};

/// One attempt to make declarations the next accepted configuration, by the chart
/// `configuration_write`. What becomes of it is always read back from the table; a write in doubt
/// is ruled out by a new version of the head row before the operator is told that it was not
/// accepted.
class configuration_write final : private chart::actor {
  public:
    /// @param settings limits
    /// @param definition the chart `configuration_write`
    /// @param wanted what the operator wants
    /// @param codec form of the rows
    /// @param host carries the steps out; outlives this object
    configuration_write(const write_settings& settings,
                        std::shared_ptr<const chart::chart> definition, proposal requested,
                        const revision_codec& codec, write_host& host);

    /// Begins.
    void start(core::instant now);

    /// Handles an answer of the table where it is for this write.
    void on_table_event(const api::table_event& event, core::instant now);

    /// @return when on_timer() should be called next
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// Raises the events of timers that have ended.
    void on_timer(core::instant now);

    /// @return true where the operator has been answered
    [[nodiscard]] bool is_done() const { return machine_.is_final(); }

    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }

  private:
    /// The head row, as far as it was read.
    struct head {
        const api::row_version version;
        const core::revision revision;
        const std::string author;
    };

    const write_settings settings_;
    chart::machine machine_;
    const proposal proposal_;
    const revision_codec& codec_;
    write_host& host_;
    api::table_request request_;
    /// The head that the write goes upon.
    core::cell<head> base_{head{}};
    /// The head as it was read last.
    core::cell<head> latest_{head{}};
    core::cell<std::optional<api::configuration_copy>> stored_{std::nullopt};
    std::map<chart::symbol, std::pair<core::instant, chart::symbol>> timers_;
    core::instant now_;

    void raise(write_event event);
    void handle(const api::table_committed& event);
    void handle(const api::table_conflict& event);
    void handle(const api::table_rows& event);
    void handle(const api::table_failed& event);
    [[nodiscard]] head read_head(const std::vector<api::row>& rows) const;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
    [[nodiscard]] core::duration duration_of(write_timeout timeout) const;

    void commit();
    void fence();
    void read_back();
    void answer_conflict();
    [[nodiscard]] core::revision proposed() const { return base_.get().revision.next(); }
};

} // namespace cyclamen::config
