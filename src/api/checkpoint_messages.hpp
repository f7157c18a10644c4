#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/identifier.hpp"

/// @file
/// Messages between instances that let a generation survive the loss of the instance that owns it.
/// The owner replicates the state of the generation to another instance, the holder, from which a
/// successor fetches it. The messages are independent of any encoding.

namespace cyclamen::api {

/// One incarnation of an instance, as owner or holder of checkpoints.
struct checkpoint_party {
    const core::instance_name name;
    const core::incarnation incarnation;

    auto operator<=>(const checkpoint_party&) const = default;
};

/// Identifies a generation across all instances.
struct checkpoint_key {
    const core::account_name account;
    const core::request_key key;

    auto operator<=>(const checkpoint_key&) const = default;
};

/// Counts the successive owners of a generation. The owner with the highest epoch is the valid one.
using checkpoint_epoch = core::number<struct checkpoint_epoch_tag>;

/// The part of an answer that one owner produced, from a token position on.
struct lineage_part {
    /// Identifies the owner; unique among the owners of all generations.
    const std::string branch;
    /// Position of the first token that this owner produced.
    const std::uint64_t first;

    auto operator<=>(const lineage_part&) const = default;
};

/// State that another instance needs to continue a generation. It doesn't contain the request,
/// which the caller sends again.
struct checkpoint {
    const core::version_name version;
    /// Hash of the request. A request with the same key but another hash is a different request,
    /// not a repeat.
    const std::uint64_t request_hash;
    const std::vector<lineage_part> lineage;
    const std::vector<std::string> tokens;
    /// True if the answer is complete with these tokens.
    const bool finished;

    auto operator<=>(const checkpoint&) const = default;
};

/// Asks the receiver to hold a new checkpoint. Answered by checkpoint_ack or checkpoint_superseded.
struct checkpoint_open {
    const checkpoint_key key;
    const checkpoint_epoch epoch;
    const checkpoint state;

    auto operator<=>(const checkpoint_open&) const = default;
};

/// Further tokens of one generation.
struct checkpoint_run {
    const checkpoint_key key;
    const checkpoint_epoch epoch;
    /// Position of the first of these tokens.
    const std::uint64_t first;
    const std::vector<std::string> tokens;
    const bool finished;

    auto operator<=>(const checkpoint_run&) const = default;
};

/// Further tokens of several generations that the receiver holds for the sender. Answered by
/// checkpoint_ack, checkpoint_superseded and checkpoint_unknown.
struct checkpoint_append {
    const std::vector<checkpoint_run> runs;

    auto operator<=>(const checkpoint_append&) const = default;
};

/// How many tokens of one generation the holder has.
struct checkpoint_held {
    const checkpoint_key key;
    const checkpoint_epoch epoch;
    const std::uint64_t tokens;

    auto operator<=>(const checkpoint_held&) const = default;
};

/// Acknowledges to an owner how many tokens of each generation are held.
struct checkpoint_ack {
    const std::vector<checkpoint_held> held;

    auto operator<=>(const checkpoint_ack&) const = default;
};

/// Notifies an owner that another instance has taken over the generation.
struct checkpoint_superseded {
    const checkpoint_key key;
    /// Epoch of the owner that is notified.
    const checkpoint_epoch epoch;

    auto operator<=>(const checkpoint_superseded&) const = default;
};

/// Notifies an owner that the receiver of an append doesn't hold its generation.
struct checkpoint_unknown {
    const checkpoint_key key;
    const checkpoint_epoch epoch;

    auto operator<=>(const checkpoint_unknown&) const = default;
};

/// Requests the checkpoint of a generation. The requester becomes the owner of the generation if
/// the current owner is unresponsive. Answered by checkpoint_fetched.
struct checkpoint_fetch {
    /// Request number chosen by the requester, repeated in the answer.
    const std::uint64_t request;
    const checkpoint_key key;

    auto operator<=>(const checkpoint_fetch&) const = default;
};

/// Answers a checkpoint_fetch.
struct checkpoint_fetched {
    const std::uint64_t request;
    const checkpoint_key key;
    /// Epoch of the owner; 0 if no checkpoint is held.
    const checkpoint_epoch epoch;
    /// The owner; this is the requester if it has become the owner.
    const core::instance_name owner;
    /// True if the requester has become the owner with this answer.
    const bool taken;
    /// True if the owner has sent a message since it became the owner.
    const bool confirmed;
    /// Empty if no checkpoint is held.
    const std::optional<checkpoint> state;

    auto operator<=>(const checkpoint_fetched&) const = default;
};

/// Quarantines a request that has crashed targets: no instance may run it.
struct quarantine_notice {
    /// Hash of the account and the prompt.
    const std::uint64_t fingerprint;
    /// Duration of the quarantine in milliseconds.
    const std::uint64_t lasts_ms;

    auto operator<=>(const quarantine_notice&) const = default;
};

/// All messages between instances about generations.
using checkpoint_message =
    std::variant<checkpoint_open, checkpoint_append, checkpoint_ack, checkpoint_superseded,
                 checkpoint_unknown, checkpoint_fetch, checkpoint_fetched, quarantine_notice>;

} // namespace cyclamen::api
