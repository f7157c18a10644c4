#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/identifier.hpp"

/// @file
/// What instances tell each other so that a generation outlives the instance that owns it: the
/// owner sends what it has to a holder, and a successor fetches it there. No encoding is named
/// here.

namespace cyclamen::api {

/// One life of one instance.
struct checkpoint_party {
    const core::instance_name name;
    const core::incarnation incarnation;

    auto operator<=>(const checkpoint_party&) const = default;
};

/// Names a generation at all instances.
struct checkpoint_key {
    const core::account_name account;
    const core::request_key key;

    auto operator<=>(const checkpoint_key&) const = default;
};

/// Counts the owners of a generation; the owner with the highest one is the right one.
using checkpoint_epoch = core::number<struct checkpoint_epoch_tag>;

/// From which token on an answer was produced under which owner.
struct lineage_part {
    /// Name that no other owner of any generation uses.
    const std::string branch;
    /// Position of the first token that this owner produced.
    const std::uint64_t first;

    auto operator<=>(const lineage_part&) const = default;
};

/// What another instance needs to go on with a generation, beside the request, which its caller
/// sends again.
struct checkpoint {
    const core::version_name version;
    /// Hash of the request; a repeat with another one is none.
    const std::uint64_t request_hash;
    const std::vector<lineage_part> lineage;
    const std::vector<std::string> tokens;
    /// True where nothing follows the tokens.
    const bool finished;

    auto operator<=>(const checkpoint&) const = default;
};

/// Hold this from now on. Answered by checkpoint_ack or checkpoint_superseded.
struct checkpoint_open {
    const checkpoint_key key;
    const checkpoint_epoch epoch;
    const checkpoint state;

    auto operator<=>(const checkpoint_open&) const = default;
};

/// More tokens of one generation.
struct checkpoint_run {
    const checkpoint_key key;
    const checkpoint_epoch epoch;
    /// Position of the first of them.
    const std::uint64_t first;
    const std::vector<std::string> tokens;
    const bool finished;

    auto operator<=>(const checkpoint_run&) const = default;
};

/// More tokens of several generations that one instance holds for another. Answered by
/// checkpoint_ack, checkpoint_superseded and checkpoint_unknown.
struct checkpoint_append {
    const std::vector<checkpoint_run> runs;

    auto operator<=>(const checkpoint_append&) const = default;
};

/// How much of one generation is held.
struct checkpoint_held {
    const checkpoint_key key;
    const checkpoint_epoch epoch;
    const std::uint64_t tokens;

    auto operator<=>(const checkpoint_held&) const = default;
};

/// Tells an owner how much is held.
struct checkpoint_ack {
    const std::vector<checkpoint_held> held;

    auto operator<=>(const checkpoint_ack&) const = default;
};

/// Tells an owner that another instance has taken the generation over.
struct checkpoint_superseded {
    const checkpoint_key key;
    /// Epoch of the owner that this is for.
    const checkpoint_epoch epoch;

    auto operator<=>(const checkpoint_superseded&) const = default;
};

/// Tells an owner that the holder does not have its generation.
struct checkpoint_unknown {
    const checkpoint_key key;
    const checkpoint_epoch epoch;

    auto operator<=>(const checkpoint_unknown&) const = default;
};

/// Give me what you hold of a generation; the asker becomes its owner where the present one is
/// quiet. Answered by checkpoint_fetched.
struct checkpoint_fetch {
    /// Number that the asker gave it.
    const std::uint64_t request;
    const checkpoint_key key;

    auto operator<=>(const checkpoint_fetch&) const = default;
};

/// Answers a checkpoint_fetch.
struct checkpoint_fetched {
    const std::uint64_t request;
    const checkpoint_key key;
    /// Epoch of the owner; 0 where nothing is held.
    const checkpoint_epoch epoch;
    /// The owner; the asker itself where it has become it.
    const core::instance_name owner;
    /// True where the asker has become the owner with this answer.
    const bool taken;
    /// True where the owner has sent something since it became it.
    const bool confirmed;
    /// Empty where nothing is held.
    const std::optional<checkpoint> state;

    auto operator<=>(const checkpoint_fetched&) const = default;
};

/// A request has crashed targets: no instance runs it.
struct quarantine_notice {
    /// Hash of account and prompt.
    const std::uint64_t fingerprint;
    /// How long it stays so, in whole milliseconds.
    const std::uint64_t lasts_ms;

    auto operator<=>(const quarantine_notice&) const = default;
};

/// Everything that instances tell each other about generations.
using checkpoint_message =
    std::variant<checkpoint_open, checkpoint_append, checkpoint_ack, checkpoint_superseded,
                 checkpoint_unknown, checkpoint_fetch, checkpoint_fetched, quarantine_notice>;

} // namespace cyclamen::api
