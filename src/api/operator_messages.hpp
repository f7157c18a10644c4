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
/// Requests of operators, which arrive through the front task, and the answers of the decision
/// task.

namespace cyclamen::api {

/// Request: make these declarations the next accepted configuration.
struct configuration_apply {
    const core::caller_id caller;
    /// Token of the operator, as sent.
    const std::string bearer;
    const std::string declarations;
    /// The revision that the declarations must succeed; empty to succeed whichever is the newest.
    const std::optional<core::revision> expected;
    /// True to check the declarations without applying them.
    const bool dry_run;

    auto operator<=>(const configuration_apply&) const = default;
};

/// Request: make the declarations of an earlier revision the next accepted configuration.
struct configuration_rollback {
    const core::caller_id caller;
    const std::string bearer;
    /// The earlier revision.
    const core::revision to;

    auto operator<=>(const configuration_rollback&) const = default;
};

/// Request: return the configuration in force at this instance.
struct configuration_get {
    const core::caller_id caller;
    const std::string bearer;

    auto operator<=>(const configuration_get&) const = default;
};

/// Request: list all accepted revisions.
struct configuration_history {
    const core::caller_id caller;
    const std::string bearer;

    auto operator<=>(const configuration_history&) const = default;
};

/// Request: report the revision in force at each instance.
struct configuration_status {
    const core::caller_id caller;
    const std::string bearer;

    auto operator<=>(const configuration_status&) const = default;
};

/// All requests of operators.
using operator_request =
    std::variant<configuration_apply, configuration_rollback, configuration_get,
                 configuration_history, configuration_status>;

/// A revision with its declarations; empty if none has been accepted yet.
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

/// Status of one instance.
struct instance_status {
    const member instance;
    /// Its report on this request; empty if it did not report.
    const std::optional<configuration_knowledge> configuration;
    /// Time since it became unresponsive; zero if it responds.
    const core::duration unresponsive_for;

    auto operator<=>(const instance_status&) const = default;
};

/// Status of all known instances.
struct status_answer {
    const core::caller_id caller;
    /// The newest revision that any instance has in force.
    const core::revision newest;
    const std::vector<instance_status> instances;
    /// True if every instance that is not gone has the newest revision in force and has recently
    /// verified that it is the newest.
    const bool in_force_everywhere;

    auto operator<=>(const status_answer&) const = default;
};

/// The operator's request is refused.
struct operator_refusal {
    const core::caller_id caller;
    const core::failure reason;

    auto operator<=>(const operator_refusal&) const = default;
};

/// All answers to operators.
using operator_answer =
    std::variant<configuration_answer, history_answer, status_answer, operator_refusal>;

} // namespace cyclamen::api
