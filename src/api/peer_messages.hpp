#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "api/checkpoint_messages.hpp"
#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"

/// @file
/// What instances tell each other, and what the decision task and the peer task of one instance
/// tell each other about it. No encoding is named here.
///
/// To add a payload:
/// 1. define its value type here and add it to peer_message;
/// 2. define its wire form in a file of proto/ and add it to `payload` in proto/peer.proto, with a
///    number of the range of its subject; run tools/generate_protocol;
/// 3. add a `write` and a `read` to a codec file of src/peer, and one line each to
///    peer/peer_codec.cpp;
/// 4. add an example to tests/peer/peer_codec_test.cpp.

namespace cyclamen::api {

/// One life of one instance.
struct peer_identity {
    const core::instance_name name;
    const core::incarnation incarnation;

    auto operator<=>(const peer_identity&) const = default;
};

/// What an instance is known to do. Of two reports on one version of a member the greater counts.
enum class member_state {
    starting,
    serving,
    draining,
    /// It did not answer and will be held for gone unless it speaks up.
    suspect,
    gone,
};

/// What is known of one instance.
struct member {
    const peer_identity identity;
    /// Counts the statements of the instance about itself within one life.
    const std::uint64_t version;
    const member_state state;
    const core::failure_domain_name failure_domain;
    /// Where callers reach it.
    const core::socket_address callers;
    /// Where peers reach it.
    const core::socket_address peers;

    auto operator<=>(const member&) const = default;
};

/// What an instance knows of the newest accepted configuration.
struct configuration_knowledge {
    /// The revision that it has in force.
    const core::revision revision;
    /// Time since the head row was known to be that; empty where it never was.
    const std::optional<core::duration> age;

    auto operator<=>(const configuration_knowledge&) const = default;
};

/// Are you there? Answered by probe_ack.
struct probe {
    /// Number that the sender gave it.
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

/// Asks for a probe of a third instance; answered by probe_ack once that one has answered.
struct probe_request {
    const std::uint64_t sequence;
    const core::instance_name subject;

    auto operator<=>(const probe_request&) const = default;
};

/// Changes of members.
struct member_news {
    const std::vector<member> members;

    auto operator<=>(const member_news&) const = default;
};

/// All members that the sender knows.
struct member_exchange {
    const std::vector<member> members;
    /// True where the receiver should send back what it knows.
    const bool wants_answer;

    auto operator<=>(const member_exchange&) const = default;
};

/// The sender has this revision in force.
struct revision_notice {
    const core::revision revision;

    auto operator<=>(const revision_notice&) const = default;
};

/// Asks for the configuration in force where it is newer.
struct configuration_request {
    const core::revision held;

    auto operator<=>(const configuration_request&) const = default;
};

/// An accepted configuration, as it was read from the table.
struct configuration_copy {
    const core::revision revision;
    /// The revision that it followed.
    const core::revision base;
    const std::string author;
    /// Tells this write from others.
    const std::string nonce;
    /// When it was accepted.
    const core::wall_time accepted;
    /// The declarations in the form in which they are stored.
    const std::string declarations;

    auto operator<=>(const configuration_copy&) const = default;
};

/// Asks what is in force.
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

/// Everything that one instance tells another.
using peer_message =
    std::variant<probe, probe_ack, probe_request, member_news, member_exchange, revision_notice,
                 configuration_request, configuration_copy, status_request, status_report,
                 checkpoint_open, checkpoint_append, checkpoint_ack, checkpoint_superseded,
                 checkpoint_unknown, checkpoint_fetch, checkpoint_fetched, quarantine_notice>;

/// Where a message for a peer goes.
struct peer_destination {
    const core::socket_address address;
    /// The instance that is meant; an empty name for whoever has the address, life 0 for any.
    const peer_identity identity;

    auto operator<=>(const peer_destination&) const = default;
};

/// Send a message to peers. It is dropped where a peer can't take it: nothing waits for it.
struct send_to_peers {
    const std::vector<peer_destination> to;
    const peer_message message;

    auto operator<=>(const send_to_peers&) const = default;
};

/// What the decision task tells the peer task.
using peer_command = std::variant<send_to_peers>;

/// A message of a peer has arrived.
struct peer_received {
    const peer_identity from;
    const peer_message message;

    auto operator<=>(const peer_received&) const = default;
};

/// What the peer task tells the decision task.
using peer_event = std::variant<peer_received>;

} // namespace cyclamen::api
