#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "api/call_messages.hpp"
#include "api/operator_messages.hpp"
#include "core/failure.hpp"
#include "core/identifier.hpp"
#include "core/socket_address.hpp"

/// @file
/// Messages between the front tasks and the decision task of an instance. They are independent of
/// any encoding, so that another front end can use the same decision code.

namespace cyclamen::api {

/// A caller's request for a generation, or for the rest of one that it has received in part.
struct generation_request {
    const core::caller_id caller;
    /// Bearer key of the client account, as the caller sent it.
    const std::string bearer;
    /// Request key (idempotency key) chosen by the caller; empty if it sent none.
    const core::request_key key;
    const core::service_name service;
    const std::string prompt;
    /// Number of tokens to generate.
    const std::uint32_t max_tokens;
    /// True if tokens are to be delivered as they are produced, false for one complete answer.
    const bool streaming;
    /// Number of tokens that the caller has already received.
    const std::uint64_t tokens_held;
    /// Time limit for the complete answer.
    const core::duration timeout;
    /// Branch (see answer_tokens) of the last token that the caller received; empty if unknown.
    const std::string held_branch = {};

    auto operator<=>(const generation_request&) const = default;
};

/// A caller's connection ended before its answer was complete.
struct caller_gone {
    const core::caller_id caller;

    auto operator<=>(const caller_gone&) const = default;
};

/// A caller's query for the instance to use.
struct instance_query {
    const core::caller_id caller;

    auto operator<=>(const instance_query&) const = default;
};

/// Query for the metrics, from an operator or a metrics collector.
struct metrics_query {
    const core::caller_id caller;

    auto operator<=>(const metrics_query&) const = default;
};

/// No request is in progress any more. Sent once after an admission with `notify_when_idle`.
struct work_finished {
    auto operator<=>(const work_finished&) const = default;
};

/// Events of a front task for the decision task.
using front_event = std::variant<generation_request, caller_gone, instance_query, metrics_query,
                                 work_finished, operator_request, call_request>;

/// Consecutive tokens of an answer.
struct answer_tokens {
    const core::caller_id caller;
    /// Position of the first of these tokens in the answer, counted from 0.
    const std::uint64_t first;
    const std::vector<std::string> tokens;
    /// Identifies the owner that produced the tokens. Together with a position it determines
    /// exactly which tokens a caller has received.
    const std::string branch = {};

    auto operator<=>(const answer_tokens&) const = default;
};

/// All tokens of the answer have been sent.
struct answer_complete {
    const core::caller_id caller;
    /// Length of the complete answer in tokens.
    const std::uint64_t token_count;
    /// Number of attempts that the answer took.
    const std::uint64_t attempts;

    auto operator<=>(const answer_complete&) const = default;
};

/// The generation failed: there is no answer, or no further part of it.
struct answer_failed {
    const core::caller_id caller;
    const core::failure reason;

    auto operator<=>(const answer_failed&) const = default;
};

/// Answers an instance_query.
struct instance_answer {
    const core::caller_id caller;
    /// The preferred instance.
    const core::socket_address use;
    /// Alternative instances, best first.
    const std::vector<core::socket_address> alternates;
    /// How long the caller should cache the answer.
    const core::duration keep;

    auto operator<=>(const instance_answer&) const = default;
};

/// Answers a metrics_query with the metrics as text.
struct metrics_answer {
    const core::caller_id caller;
    const std::string text;

    auto operator<=>(const metrics_answer&) const = default;
};

/// Sets whether the front task accepts new work from now on.
struct admission {
    /// State of the instance, reported by its health check.
    const std::string state;
    /// The error that new work is rejected with; empty if new work is accepted.
    const std::optional<core::failure> refusal;
    /// True if the front task must send work_finished once no request is in progress.
    const bool notify_when_idle;

    auto operator<=>(const admission&) const = default;
};

/// Commands of the decision task to a front task.
using front_command =
    std::variant<answer_tokens, answer_complete, answer_failed, instance_answer, metrics_answer,
                 admission, operator_answer, call_answer, call_failed>;

} // namespace cyclamen::api
