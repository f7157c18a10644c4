#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "api/checkpoint_messages.hpp"
#include "api/table_messages.hpp"
#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"

/// @file
/// Messages between instances, and the messages by which the decision task and the peer task of one
/// instance exchange them. They are independent of any encoding.
///
/// To add a payload:
/// 1. define its value type here and add it to peer_message;
/// 2. define its wire form in a file of proto/ and add it to `payload` in proto/peer.proto, with a
///    number from the range reserved for its subject; run tools/generate_protocol;
/// 3. add a `write` and a `read` to a codec file of src/peer, and one line each to
///    peer/peer_codec.cpp;
/// 4. add an example to tests/peer/peer_codec_test.cpp.

namespace cyclamen::api {

/// One incarnation of an instance.
struct peer_identity {
    const core::instance_name name;
    const core::incarnation incarnation;

    auto operator<=>(const peer_identity&) const = default;
};

/// State of a member. Of two reports about the same version of a member, the one with the greater
/// state takes precedence.
enum class member_state {
    starting,
    serving,
    draining,
    /// Did not answer a probe; it is declared gone unless it refutes the suspicion in time.
    suspect,
    gone,
};

/// Membership record of one instance.
struct member {
    const peer_identity identity;
    /// Counts the updates that the instance made to its own record within one incarnation.
    const std::uint64_t version;
    const member_state state;
    const core::failure_domain_name failure_domain;
    /// Address for callers.
    const core::socket_address callers;
    /// Address for peers.
    const core::socket_address peers;

    auto operator<=>(const member&) const = default;
};

/// Place of a configuration in the order of all accepted ones. A restored table gives out the
/// revisions that it has lost again; what it accepts in its later era succeeds all of the earlier.
struct configuration_position {
    /// Era of the table in which the configuration was accepted.
    const table_era era;
    const core::revision revision;

    auto operator<=>(const configuration_position&) const = default;
};

/// What an instance knows about the newest accepted configuration.
struct configuration_knowledge {
    /// The revision that the instance has in force.
    const core::revision revision;
    /// Time since the head row in the table was last known to name this revision; empty if never.
    const std::optional<core::duration> age;
    /// Era of the table in which the revision was accepted.
    const table_era era{};

    /// @return the place in the order of all accepted configurations
    [[nodiscard]] configuration_position position() const { return {era, revision}; }

    auto operator<=>(const configuration_knowledge&) const = default;
};

/// Checks whether the receiver is alive. Answered by probe_ack.
struct probe {
    /// Sequence number chosen by the sender, repeated in the answer.
    const std::uint64_t sequence;
    const configuration_knowledge configuration;
    const std::vector<member> members;

    auto operator<=>(const probe&) const = default;
};

/// Answers a probe.
struct probe_ack {
    const std::uint64_t sequence;
    const configuration_knowledge configuration;
    const std::vector<member> members;

    auto operator<=>(const probe_ack&) const = default;
};

/// Asks the receiver to probe a third instance. Answered by probe_ack once that instance answered.
struct probe_request {
    const std::uint64_t sequence;
    const core::instance_name subject;

    auto operator<=>(const probe_request&) const = default;
};

/// Changed membership records.
struct member_news {
    const std::vector<member> members;

    auto operator<=>(const member_news&) const = default;
};

/// All membership records that the sender has.
struct member_exchange {
    const std::vector<member> members;
    /// True if the receiver should reply with its own records.
    const bool wants_answer;

    auto operator<=>(const member_exchange&) const = default;
};

/// Announces the revision that the sender has in force.
struct revision_notice {
    const core::revision revision;
    /// Era of the table in which the revision was accepted.
    const table_era era{};

    /// @return the place in the order of all accepted configurations
    [[nodiscard]] configuration_position position() const { return {era, revision}; }

    auto operator<=>(const revision_notice&) const = default;
};

/// Requests the receiver's configuration if it is newer than the sender's.
struct configuration_request {
    /// The revision that the sender has.
    const core::revision held;
    /// Era of the table in which that revision was accepted.
    const table_era era{};

    /// @return the place of the sender's configuration in the order of all accepted ones
    [[nodiscard]] configuration_position position() const { return {era, held}; }

    auto operator<=>(const configuration_request&) const = default;
};

/// An accepted configuration as read from the table.
struct configuration_copy {
    const core::revision revision;
    /// The revision that it succeeded.
    const core::revision base;
    const std::string author;
    /// Distinguishes this write from all others.
    const std::string nonce;
    /// Time of acceptance.
    const core::wall_time accepted;
    /// The declarations in their stored form.
    const std::string declarations;
    /// Era of the table in which it was accepted.
    const table_era era{};

    /// @return the place in the order of all accepted configurations
    [[nodiscard]] configuration_position position() const { return {era, revision}; }

    auto operator<=>(const configuration_copy&) const = default;
};

/// Asks the receiver which revision it has in force.
struct status_request {
    const std::uint64_t sequence;

    auto operator<=>(const status_request&) const = default;
};

/// Answers a status_request.
struct status_report {
    const std::uint64_t sequence;
    const configuration_knowledge configuration;

    auto operator<=>(const status_report&) const = default;
};

/// All messages between instances.
using peer_message =
    std::variant<probe, probe_ack, probe_request, member_news, member_exchange, revision_notice,
                 configuration_request, configuration_copy, status_request, status_report,
                 checkpoint_open, checkpoint_append, checkpoint_ack, checkpoint_superseded,
                 checkpoint_unknown, checkpoint_fetch, checkpoint_fetched, quarantine_notice>;

/// Destination of a message to a peer.
struct peer_destination {
    const core::socket_address address;
    /// The intended receiver. An empty name means any instance at the address, incarnation 0 means
    /// any incarnation.
    const peer_identity identity;

    auto operator<=>(const peer_destination&) const = default;
};

/// Command: send a message to peers. The message is dropped for a peer that can't accept it at
/// once; the sender never blocks.
struct send_to_peers {
    const std::vector<peer_destination> to;
    const peer_message message;

    auto operator<=>(const send_to_peers&) const = default;
};

/// Commands of the decision task to the peer task.
using peer_command = std::variant<send_to_peers>;

/// A message from a peer has arrived.
struct peer_received {
    const peer_identity from;
    const peer_message message;

    auto operator<=>(const peer_received&) const = default;
};

/// Events of the peer task for the decision task.
using peer_event = std::variant<peer_received>;

} // namespace cyclamen::api
