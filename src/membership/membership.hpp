#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "api/peer_messages.hpp"
#include "core/cell.hpp"
#include "core/time.hpp"
#include "membership/member_table.hpp"
#include "membership/membership_settings.hpp"
#include "membership/update_queue.hpp"

namespace cyclamen::membership {

/// Callbacks of membership, implemented by its owner. Called on the decision task.
class membership_host {
  public:
    virtual ~membership_host() = default;

    /// Sends a message to peers. Delivery is not guaranteed.
    virtual void send(std::vector<api::peer_destination> to, api::peer_message message) = 0;

    /// @return what this instance knows of the newest configuration
    [[nodiscard]] virtual api::configuration_knowledge knowledge(core::instant now) const = 0;

    /// Called when a peer has reported what it knows of the newest configuration.
    /// @param from the peer
    /// @param reported the peer's knowledge
    /// @param not_before the peer made the report after this instant; empty if unknown
    /// @param now current instant
    virtual void on_peer_knowledge(const api::peer_identity& from,
                                   const api::configuration_knowledge& reported,
                                   std::optional<core::instant> not_before, core::instant now) = 0;

    /// Called when the view of the members has changed.
    virtual void members_changed(core::instant now) = 0;

    /// Called after a period in which this process didn't run.
    virtual void paused(core::duration length, core::instant now) = 0;

    /// Called when a later incarnation of this instance exists; this one must shut down.
    virtual void superseded(core::instant now) = 0;
};

/// Gossip-based membership and failure detection, similar to SWIM. Probes the other instances in
/// turn, asks others to probe an instance that doesn't answer, and sends changes to a few instances
/// in each round. The traffic of one instance doesn't grow with the number of instances, except for
/// the infrequent exchange of the full state.
class membership {
  public:
    /// @param settings periods and timeouts
    /// @param self this instance, with version 1 and the state `starting`
    /// @param host receives the callbacks; must outlive this object
    /// @param seed seed of the random choices
    membership(const membership_settings& settings, const api::member& self, membership_host& host,
               std::uint64_t seed);

    /// Contacts the seeds and starts the periodic rounds.
    void start(core::instant now);

    /// Sets the state of this instance and sends it to some peers.
    void announce(api::member_state state, core::instant now);

    /// Adds addresses where instances may be found, such as those of the instance list.
    void add_seeds(const std::vector<core::socket_address>& seeds);

    /// Handles a membership message; ignores all others.
    void on_message(const api::peer_received& received, core::instant now);

    /// @return when on_timer() must be called next
    [[nodiscard]] core::instant next_deadline() const;

    /// Runs the probes, timeouts and rounds whose deadline has passed.
    void on_timer(core::instant now);

    [[nodiscard]] const api::member& self() const { return self_.get(); }
    [[nodiscard]] const member_table& others() const { return others_; }

    /// @return this instance and all others that are not gone
    [[nodiscard]] std::vector<api::member> present() const;

    /// @return up to `count` other instances, chosen at random, that are neither suspect nor gone
    [[nodiscard]] std::vector<api::peer_destination> random_peers(std::size_t count);

    /// @return all other instances that are neither suspect nor gone
    [[nodiscard]] std::vector<api::peer_destination> responsive_peers() const;

  private:
    /// A probe that has not been answered yet.
    struct pending_probe {
        const api::member subject;
        const core::instant sent;
        const bool indirect;
        /// The peer that requested the probe and its sequence number; empty for a probe of our own.
        const std::optional<std::pair<api::peer_identity, std::uint64_t>> requester;
    };

    const membership_settings settings_;
    core::cell<api::member> self_;
    membership_host& host_;
    std::mt19937_64 random_;
    std::set<core::socket_address> seeds_;
    member_table others_;
    update_queue updates_;
    std::vector<core::instance_name> probe_order_;
    std::map<std::uint64_t, core::cell<pending_probe>> probes_;
    /// Suspects, each with the instant at which it is declared gone.
    std::map<core::instance_name, core::instant> suspects_;
    std::uint64_t last_sequence_ = 0;
    core::instant last_activity_;
    core::instant next_probe_at_;
    core::instant next_update_at_;
    core::instant next_exchange_at_;
    core::instant next_rejoin_at_;
    core::instant next_resync_at_;

    void handle(const api::peer_identity& from, const api::probe& message, core::instant now);
    void handle(const api::peer_identity& from, const api::probe_ack& message, core::instant now);
    void handle(const api::peer_identity& from, const api::probe_request& message,
                core::instant now);
    void handle(const api::peer_identity& from, const api::member_news& message, core::instant now);
    void handle(const api::peer_identity& from, const api::member_exchange& message,
                core::instant now);
    template <class Other>
    void handle(const api::peer_identity& /*from*/, const Other& /*message*/, core::instant /*now*/)
    {
    }

    void report_newer_incarnation(const api::peer_identity& from, const api::probe& message,
                                  const api::member& newer);

    void detect_pause(core::instant now);
    void merge_all(const std::vector<api::member>& reported, core::instant now);
    void merge(const api::member& reported, core::instant now);
    void merge_own(const api::member& reported, core::instant now);
    void propagate_change(const core::instance_name& name, core::instant now);
    void update_self(std::uint64_t version, api::member_state state);
    void set_state(const api::member& subject, api::member_state state, core::instant now);

    void send_probe(const api::member& subject,
                    std::optional<std::pair<api::peer_identity, std::uint64_t>> requester,
                    core::instant now);
    void probe_next(core::instant now);
    [[nodiscard]] std::optional<api::member> next_to_probe();
    void expire_probes(core::instant now);
    void expire_suspects(core::instant now);
    void publish_updates();
    void exchange(core::instant now);
    void rejoin(core::instant now);
    [[nodiscard]] std::set<core::socket_address> addresses_to_rejoin() const;
    [[nodiscard]] std::vector<api::member> take_updates();
    [[nodiscard]] std::vector<api::member> full_state() const;
};

} // namespace cyclamen::membership
