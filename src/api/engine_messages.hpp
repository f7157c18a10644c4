#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"

/// @file
/// Messages between the decision task of an instance and its back task, which owns the connections
/// to engines.

namespace cyclamen::api {

/// Identifies one attempt of a generation. Later attempts have higher numbers.
struct attempt_id {
    const core::generation_id generation;
    const core::attempt_number number;

    auto operator<=>(const attempt_id&) const = default;
};

/// Command: start an attempt at an engine.
struct open_attempt {
    const attempt_id attempt;
    const core::target_name target;
    const core::socket_address address;
    const core::service_name service;
    /// The prompt, followed by the tokens that earlier attempts produced.
    const std::string prompt;
    /// Position in the answer of the first token that the engine produces.
    const std::uint64_t first;
    /// Number of tokens that the engine produces.
    const std::uint64_t max_tokens;
    /// The engine serves higher priorities first.
    const std::uint32_t priority;

    auto operator<=>(const open_attempt&) const = default;
};

/// Command: abandon an attempt. The engine stops working on it.
struct cancel_attempt {
    const attempt_id attempt;

    auto operator<=>(const cancel_attempt&) const = default;
};

/// Command: request the rest of an attempt's stream from the engine over a new connection.
struct probe_attempt {
    const attempt_id attempt;

    auto operator<=>(const probe_attempt&) const = default;
};

/// Commands of the decision task to the back task.
using engine_command = std::variant<open_attempt, cancel_attempt, probe_attempt>;

/// Consecutive tokens of an attempt.
struct attempt_tokens {
    const attempt_id attempt;
    /// Position of the first of these tokens in the answer, counted from 0.
    const std::uint64_t first;
    const std::vector<std::string> tokens;

    auto operator<=>(const attempt_tokens&) const = default;
};

/// The engine has produced all tokens of the attempt.
struct attempt_finished {
    const attempt_id attempt;

    auto operator<=>(const attempt_finished&) const = default;
};

/// Why an attempt was lost.
enum class loss_kind {
    /// No connection could be established, so the engine hasn't received the attempt.
    not_connected,
    /// The connection ended before the answer was complete.
    connection_lost,
    /// The engine answered with an error.
    engine_error,
    /// The engine temporarily rejects work.
    engine_busy,
};

/// The attempt has failed and produces no further tokens.
struct attempt_lost {
    const attempt_id attempt;
    const loss_kind kind;
    const std::string detail;

    auto operator<=>(const attempt_lost&) const = default;
};

/// The engine still has the stream of a probed attempt and continues it over the new connection.
struct attempt_alive {
    const attempt_id attempt;

    auto operator<=>(const attempt_alive&) const = default;
};

/// Events of the back task for the decision task.
using engine_event = std::variant<attempt_tokens, attempt_finished, attempt_lost, attempt_alive>;

} // namespace cyclamen::api
