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
/// What front tasks and the decision task of an instance tell each other. No encoding is named
/// here, so that another front end can use the same decisions.

namespace cyclamen::api {

/// A caller asks for a generation, or for the rest of one.
struct generation_request {
    const core::caller_id caller;
    /// Key of the client account as the caller sent it.
    const std::string bearer;
    /// The caller's own key of the request; empty where it gave none.
    const core::request_key key;
    const core::service_name service;
    const std::string prompt;
    /// How many tokens the answer has.
    const std::uint32_t max_tokens;
    /// True where the caller takes tokens as they come, false where it waits for the whole answer.
    const bool streaming;
    /// How many tokens the caller has already.
    const std::uint64_t tokens_held;
    /// How long the caller waits for the whole answer.
    const core::duration timeout;
    /// Branch of the answer under which the caller got its last token; empty where it doesn't say.
    const std::string held_branch = {};

    auto operator<=>(const generation_request&) const = default;
};

/// A caller's connection has ended before its answer.
struct caller_gone {
    const core::caller_id caller;

    auto operator<=>(const caller_gone&) const = default;
};

/// A caller asks which instance to use.
struct instance_query {
    const core::caller_id caller;

    auto operator<=>(const instance_query&) const = default;
};

/// An operator or a collector asks for the metrics.
struct metrics_query {
    const core::caller_id caller;

    auto operator<=>(const metrics_query&) const = default;
};

/// No request is under way any more, after an admission that asked for this.
struct work_finished {
    auto operator<=>(const work_finished&) const = default;
};

/// What a front task tells the decision task.
using front_event = std::variant<generation_request, caller_gone, instance_query, metrics_query,
                                 work_finished, operator_request, call_request>;

/// Tokens of an answer, in order.
struct answer_tokens {
    const core::caller_id caller;
    /// Position of the first of them in the answer, from 0.
    const std::uint64_t first;
    const std::vector<std::string> tokens;
    /// Names the owner of the answer: with a position it says exactly what a caller has.
    const std::string branch = {};

    auto operator<=>(const answer_tokens&) const = default;
};

/// All tokens of the answer have been sent.
struct answer_complete {
    const core::caller_id caller;
    /// Length of the whole answer in tokens.
    const std::uint64_t token_count;
    /// How many attempts the answer took.
    const std::uint64_t attempts;

    auto operator<=>(const answer_complete&) const = default;
};

/// There is no answer, or no more of it.
struct answer_failed {
    const core::caller_id caller;
    const core::failure reason;

    auto operator<=>(const answer_failed&) const = default;
};

/// Which instance to use.
struct instance_answer {
    const core::caller_id caller;
    const core::socket_address use;
    /// Second choices, best first.
    const std::vector<core::socket_address> alternates;
    /// How long the caller should keep the answer.
    const core::duration keep;

    auto operator<=>(const instance_answer&) const = default;
};

/// The metrics as text.
struct metrics_answer {
    const core::caller_id caller;
    const std::string text;

    auto operator<=>(const metrics_answer&) const = default;
};

/// Whether new work is taken from now on.
struct admission {
    /// What the instance does, for health checks.
    const std::string state;
    /// The answer to new work; empty where it is taken.
    const std::optional<core::failure> refusal;
    /// True where work_finished is to be told once no request is under way.
    const bool notify_when_idle;

    auto operator<=>(const admission&) const = default;
};

/// What the decision task tells a front task.
using front_command =
    std::variant<answer_tokens, answer_complete, answer_failed, instance_answer, metrics_answer,
                 admission, operator_answer, call_answer, call_failed>;

} // namespace cyclamen::api
