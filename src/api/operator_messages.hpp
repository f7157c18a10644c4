#pragma once

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "api/peer_messages.hpp"
#include "core/failure.hpp"
#include "core/identifier.hpp"

/// @file
/// What operators ask through the front task, and what the decision task answers.

namespace cyclamen::api {

/// Make declarations the next accepted configuration.
struct configuration_apply {
    const core::caller_id caller;
    /// Token of the operator.
    const std::string bearer;
    const std::string declarations;
    /// The revision that they must follow; empty for whichever is the newest.
    const std::optional<core::revision> expected;
    /// True where they are only to be checked.
    const bool dry_run;

    auto operator<=>(const configuration_apply&) const = default;
};

/// Make the declarations of an earlier revision the next accepted configuration.
struct configuration_rollback {
    const core::caller_id caller;
    const std::string bearer;
    const core::revision to;

    auto operator<=>(const configuration_rollback&) const = default;
};

/// Ask for the configuration in force here.
struct configuration_get {
    const core::caller_id caller;
    const std::string bearer;

    auto operator<=>(const configuration_get&) const = default;
};

/// Ask for all accepted revisions.
struct configuration_history {
    const core::caller_id caller;
    const std::string bearer;

    auto operator<=>(const configuration_history&) const = default;
};

/// Ask what is in force at each instance.
struct configuration_status {
    const core::caller_id caller;
    const std::string bearer;

    auto operator<=>(const configuration_status&) const = default;
};

/// What an operator asks.
using operator_request =
    std::variant<configuration_apply, configuration_rollback, configuration_get,
                 configuration_history, configuration_status>;

/// One revision with its declarations; empty where none was accepted yet.
struct configuration_answer {
    const core::caller_id caller;
    const std::optional<configuration_copy> copy;

    auto operator<=>(const configuration_answer&) const = default;
};

/// All accepted revisions, newest first, without their declarations.
struct history_answer {
    const core::caller_id caller;
    const std::vector<configuration_copy> revisions;

    auto operator<=>(const history_answer&) const = default;
};

/// What one instance has in force.
struct instance_status {
    const member instance;
    /// What it said now; empty where it said nothing.
    const std::optional<configuration_knowledge> configuration;
    /// Time since it was last known to answer; zero where it answers.
    const core::duration unresponsive_for;

    auto operator<=>(const instance_status&) const = default;
};

/// What is in force at each instance that is known.
struct status_answer {
    const core::caller_id caller;
    /// The newest revision that any of them has.
    const core::revision newest;
    const std::vector<instance_status> instances;
    /// True where the newest revision is in force, and proven to be the newest, at all that serve.
    const bool in_force_everywhere;

    auto operator<=>(const status_answer&) const = default;
};

/// The request is refused.
struct operator_refusal {
    const core::caller_id caller;
    const core::failure reason;

    auto operator<=>(const operator_refusal&) const = default;
};

/// What an operator is answered.
using operator_answer =
    std::variant<configuration_answer, history_answer, status_answer, operator_refusal>;

} // namespace cyclamen::api
