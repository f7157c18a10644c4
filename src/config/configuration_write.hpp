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

/// Declarations that an operator wants to have accepted as the next configuration.
struct proposal {
    const std::string author;
    /// Identifies this write among all writes of all instances.
    const std::string nonce;
    const std::string declarations;
    /// The revision that must be the newest; empty to follow whichever is the newest when it is
    /// read.
    const std::optional<core::revision> expected;

    auto operator<=>(const proposal&) const = default;
};

/// Callbacks of configuration_write, implemented by its owner. Called on the decision task.
class write_host {
  public:
    virtual ~write_host() = default;

    /// Starts a read of the table.
    /// @param rows keys of the rows to read
    /// @return number of the request
    virtual api::table_request read(std::vector<api::row_key> rows) = 0;

    /// Starts a transaction of the table.
    /// @param writes rows to write, all or none of them
    /// @return number of the request
    virtual api::table_request commit(std::vector<api::row_write> writes) = 0;

    /// Called when the configuration has been accepted, which a read of the table has confirmed.
    virtual void take_over(const api::configuration_copy& accepted) = 0;

    /// Answers the operator that the configuration was accepted. This is the last callback.
    virtual void accepted(const api::configuration_copy& accepted) = 0;

    /// Answers the operator that the configuration was not accepted and never will be or, with the
    /// error kind outcome_unknown, that the outcome could not be determined. This is the last
    /// callback.
    virtual void refused(const core::failure& reason) = 0;

    /// @return position of the configuration that this instance has in force, which was accepted
    [[nodiscard]] virtual api::configuration_position in_force() const = 0;

    /// @return the current wall-clock time
    [[nodiscard]] virtual core::wall_time wall() const = 0;
};

/// Time limits of a configuration write.
struct write_settings {
    /// Longest time spent on reading the newest revision before the write is sent.
    const core::duration write_limit = std::chrono::seconds{5};
    /// Longest time spent on determining the outcome of a write that was sent.
    const core::duration doubt_limit = std::chrono::seconds{60};
    /// Time between two attempts to reach the table.
    const core::duration retry_pause = std::chrono::milliseconds{500};

    auto operator<=>(const write_settings&) const = default;
};

/// One attempt to have declarations accepted as the next configuration. Runs the chart
/// `configuration_write`. The outcome is always read back from the table. If it is in doubt whether
/// a write will still be applied, the head row is rewritten first (fencing): the delayed write then
/// fails on the row version, and the operator can safely be told that it was not accepted. If the
/// table is restored after the write was sent, the outcome is unknown: another instance may have
/// read the lost revision, and will write it again.
class configuration_write final : private chart::machine_host {
  public:
    /// @param settings time limits
    /// @param definition the chart `configuration_write`
    /// @param requested the declarations to write
    /// @param codec encoding of the rows
    /// @param host receives the callbacks; must outlive this object
    configuration_write(const write_settings& settings,
                        std::shared_ptr<const chart::chart> definition, proposal requested,
                        const revision_codec& codec, write_host& host);

    /// Starts with a read of the head row.
    void start(core::instant now);

    /// Handles an answer of the table; ignores answers to other requests.
    void on_table_event(const api::table_event& event, core::instant now);

    /// @return when on_timer() must be called next, empty if no timer is running
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// Raises the events of the timers that have expired.
    void on_timer(core::instant now);

    /// @return true once the operator has been answered
    [[nodiscard]] bool is_done() const { return machine_.is_final(); }

    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }

  private:
    /// Contents of the head row; all zero or empty if the row is absent, but for the era of its
    /// version.
    struct head {
        const api::row_version version;
        const core::revision revision;
        const std::string author;
        /// Era of the table in which the revision was accepted.
        const api::table_era era{};
    };

    const write_settings settings_;
    chart::machine machine_;
    const proposal proposal_;
    const revision_codec& codec_;
    write_host& host_;
    api::table_request request_;
    /// The head row that the write is based on.
    core::cell<head> base_{head{}};
    /// The head row as it was last read.
    core::cell<head> latest_{head{}};
    core::cell<std::optional<api::configuration_copy>> stored_{std::nullopt};
    std::map<chart::symbol, std::pair<core::instant, chart::symbol>> timers_;
    core::instant now_;

    void raise(write_event event);
    void handle(const api::table_committed& event);
    void handle(const api::table_conflict& event);
    void handle(const api::table_rows& event);
    void handle(const api::table_failed& event);
    [[nodiscard]] head read_head(const api::table_rows& answer) const;

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
