#pragma once

#include <map>
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

/// Callbacks of configuration_tracker, implemented by its owner. Called on the decision task.
class tracker_host {
  public:
    virtual ~tracker_host() = default;

    /// Starts a read of the table. The answer is passed to on_table_event().
    /// @param rows keys of the rows to read
    /// @return number of the request
    virtual api::table_request read(std::vector<api::row_key> rows) = 0;

    /// Starts a transaction of the table. Its answer is ignored: the next read shows the outcome.
    /// @param writes rows to write, all or none of them
    /// @param now current instant
    virtual void commit(std::vector<api::row_write> writes, core::instant now) = 0;

    /// Sends a message to one peer.
    virtual void send(const api::peer_identity& to, api::peer_message message) = 0;

    /// Sends a message to up to `count` peers, chosen at random.
    virtual void send_to_random_peers(std::size_t count, api::peer_message message) = 0;

    /// Puts a configuration into force, which succeeds the previous one. Its revision is higher,
    /// unless the table was restored in between.
    virtual void put_in_force(const model::configuration_ptr& configuration, core::instant now) = 0;

    /// Starts or stops rejecting new work.
    /// @param held true to reject new work as not run, false to accept it again
    /// @param now current instant
    virtual void hold_work(bool held, core::instant now) = 0;
};

/// Keeps the newest accepted configuration in force. A new configuration comes from the table or
/// from a peer that has it in force; the position of the one in force never decreases. If a
/// restored table lacks it, this instance writes it again, on the condition that the head row is
/// unchanged.
///
/// The revision in force is verified to be the newest as of the start of a read of the head row. A
/// peer with the same revision passes on its own verification: its answer to a probe states the age
/// of the verification, which this instance counts back from the instant it sent the probe. All
/// instants are of the monotonic clock, so a pause of the process makes a verification older.
class configuration_tracker {
  public:
    /// @param settings periods and limits
    /// @param codec encoding of the rows
    /// @param host receives the callbacks; must outlive this object
    /// @param seed determines the jitter, so that instances read the table at different times
    configuration_tracker(const tracker_settings& settings, const revision_codec& codec,
                          tracker_host& host, std::uint64_t seed);

    /// Begins to look for the newest configuration.
    void start(core::instant now);

    /// @return what this instance knows of the newest configuration
    [[nodiscard]] api::configuration_knowledge knowledge(core::instant now) const;

    /// @return true if the revision in force was verified to be the newest within
    /// tracker_settings::max_verification_age
    [[nodiscard]] bool is_verified(core::instant now) const;

    /// @return true once the instance can serve: it has read the head row or, while the table is
    /// unavailable, has received the configuration that a peer has in force
    [[nodiscard]] bool is_ready() const { return ready_; }

    /// @return the configuration in force, empty before the first one
    [[nodiscard]] const std::optional<api::configuration_copy>& in_force() const
    {
        return in_force_.get();
    }

    /// @return position of the configuration in force; all zero before the first one
    [[nodiscard]] api::configuration_position position() const;

    /// Handles a peer's report of what it knows of the newest configuration.
    /// @param from the peer
    /// @param reported the peer's knowledge
    /// @param not_before the peer made the report after this instant; empty if unknown
    /// @param now current instant
    void on_peer_knowledge(const api::peer_identity& from,
                           const api::configuration_knowledge& reported,
                           std::optional<core::instant> not_before, core::instant now);

    /// Called after a period in which this process didn't run. Holds new work if the verification
    /// has become too old meanwhile.
    void paused(core::instant now);

    /// Handles a configuration message of a peer; ignores all others.
    void on_message(const api::peer_received& received, core::instant now);

    /// Handles an answer of the table; ignores answers to other requests.
    void on_table_event(const api::table_event& event, core::instant now);

    /// Puts an accepted configuration into force if it succeeds the current one.
    void take_over(const api::configuration_copy& accepted, core::instant now);

    /// @return when on_timer() must be called next
    [[nodiscard]] core::instant next_deadline() const;

    /// Ends an expired hold, abandons a read that has timed out and starts the next read.
    void on_timer(core::instant now);

  private:
    /// A read of the table that has not been answered yet.
    struct pending_read {
        const api::table_request request;
        const core::instant sent;
        /// Position of the configuration that was in force when the read was sent.
        const api::configuration_position held;
        /// The revision whose row is read; empty if the head row is read.
        const std::optional<core::revision> revision;
    };

    const tracker_settings settings_;
    const core::duration refresh_after_;
    const revision_codec& codec_;
    tracker_host& host_;
    core::cell<std::optional<api::configuration_copy>> in_force_{std::nullopt};
    /// The revisions before it that were in force here.
    std::map<core::revision, api::configuration_copy> earlier_;
    /// Last instant as of which the revision in force is known to be the newest.
    std::optional<core::instant> verified_at_;
    core::cell<std::optional<pending_read>> pending_read_{std::nullopt};
    core::instant next_read_at_;
    /// No other copy is requested before this instant, so that the last one may arrive.
    core::instant next_copy_request_;
    std::optional<core::instant> hold_until_;
    bool ready_ = false;

    void mark_verified(core::instant verified_at, core::instant now);
    void request_copy(const api::peer_identity& peer, core::instant now);
    void send_read(std::vector<api::row_key> rows, std::optional<core::revision> revision,
                   core::instant sent);
    void handle_head_row(const api::table_rows& answer, const pending_read& read,
                         core::instant now);
    void handle_revision_row(const std::vector<api::row>& rows, core::revision revision,
                             core::instant sent, core::instant now);
    /// Keeps the revision in force, which a newer one succeeds.
    void keep_earlier(core::revision newer);
    void write_again(api::row_version head, core::revision head_revision, const pending_read& read,
                     core::instant now);
    void release_hold(core::instant now);
};

} // namespace cyclamen::config
