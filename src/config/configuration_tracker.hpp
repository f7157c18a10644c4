#pragma once

#include <optional>
#include <string>
#include <vector>

#include "api/peer_messages.hpp"
#include "api/table_messages.hpp"
#include "config/revision_codec.hpp"
#include "config/tracker_settings.hpp"
#include "core/cell.hpp"
#include "core/time.hpp"

namespace cyclamen::config {

/// What the keeper needs and what it leads to. Called on the thread of the decision task.
class tracker_host {
  public:
    virtual ~tracker_host() = default;

    /// Sends a request to the table.
    /// @return the number of the request
    virtual api::table_request read(std::vector<api::row_key> rows) = 0;

    /// Sends a message to one peer.
    virtual void send(const api::peer_identity& to, api::peer_message message) = 0;

    /// Sends a message to some peers, chosen at random.
    virtual void send_to_random_peers(std::size_t count, api::peer_message message) = 0;

    /// A configuration of a higher revision is in force from now on.
    virtual void put_in_force(const model::configuration_ptr& configuration, core::instant now) = 0;

    /// New work is refused as not run, or taken again.
    virtual void hold_work(bool held, core::instant now) = 0;
};

/// Keeps the accepted configuration in force. It only moves up in revision, whoever brings the next
/// one: the table or a peer that has it in force.
///
/// Knowledge is fresh as of the start of a read of the head row, or as of a peer's read: a peer
/// says how long ago that was in an answer to a probe, and counts from the sending of the probe.
/// Instants are of the monotonic clock, so that a pause makes knowledge older.
class configuration_tracker {
  public:
    /// @param settings periods and limits
    /// @param codec form of the rows
    /// @param host carries the steps out; outlives this object
    /// @param seed spreads the instances over the time in which they read
    configuration_tracker(const tracker_settings& settings, const revision_codec& codec,
                          tracker_host& host, std::uint64_t seed);

    /// Begins to look for the newest configuration.
    void start(core::instant now);

    /// @return what this instance knows of the newest configuration
    [[nodiscard]] api::configuration_knowledge knowledge(core::instant now) const;

    /// @return true where the configuration is known to have been the newest a short while ago
    [[nodiscard]] bool is_verified(core::instant now) const;

    /// @return true once the instance has what it needs to serve: the head from the table or, while
    /// the table is out, what a peer has in force
    [[nodiscard]] bool is_ready() const { return ready_; }

    /// @return the configuration in force, empty before the first one
    [[nodiscard]] const std::optional<api::configuration_copy>& in_force() const
    {
        return in_force_.get();
    }

    /// A peer has said what it knows.
    /// @param from the peer
    /// @param heard what it knows
    /// @param not_before the peer said so after this; empty where that is not known
    /// @param now current instant
    void on_peer_knowledge(const api::peer_identity& from,
                           const api::configuration_knowledge& reported,
                           std::optional<core::instant> not_before, core::instant now);

    /// This process has not run for a while.
    void paused(core::instant now);

    /// Handles a message of a peer where it concerns configurations.
    void on_message(const api::peer_received& received, core::instant now);

    /// Handles an answer of the table where it is for the keeper.
    void on_table_event(const api::table_event& event, core::instant now);

    /// Takes over a configuration that was read back from the table.
    void take_over(const api::configuration_copy& accepted, core::instant now);

    /// @return when on_timer() should be called next
    [[nodiscard]] core::instant next_deadline() const;

    /// Does what is due.
    void on_timer(core::instant now);

  private:
    /// A read of the table without an answer.
    struct pending_read {
        const api::table_request request;
        const core::instant sent;
        /// The revision whose row is read; empty for the head row.
        const std::optional<core::revision> revision;
    };

    const tracker_settings settings_;
    const core::duration refresh_after_;
    const revision_codec& codec_;
    tracker_host& host_;
    core::cell<std::optional<api::configuration_copy>> in_force_{std::nullopt};
    /// As of when the revision in force was the newest.
    std::optional<core::instant> verified_at_;
    core::cell<std::optional<pending_read>> pending_read_{std::nullopt};
    core::instant next_read_at_;
    /// Until when a copy that was asked for may come.
    core::instant next_copy_request_;
    std::optional<core::instant> hold_until_;
    bool ready_ = false;

    [[nodiscard]] core::revision revision() const;
    void mark_verified(core::instant verified_at, core::instant now);
    void request_copy(const api::peer_identity& peer, core::instant now);
    void send_read(std::vector<api::row_key> rows, std::optional<core::revision> revision,
                   core::instant sent);
    void handle_head_row(const std::vector<api::row>& rows, core::instant sent, core::instant now);
    void handle_revision_row(const std::vector<api::row>& rows, core::revision revision,
                             core::instant sent, core::instant now);
    void release_hold(core::instant now);
};

} // namespace cyclamen::config
