#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "rollout/outcome_recorder.hpp"

/// @file
/// Simulated targets, requests and events of a rollout case.

namespace cyclamen::bench {

/// Virtual time since the start of a case, or a duration.
using seconds = double;

/// Parameters of the new version's fault, drawn from the seed.
struct fault_plan {
    /// The fault has no effect before this time.
    seconds onset_at = 0;
    /// Probability that an affected attempt fails.
    double failure_rate = 0;
    /// Factor on the time to the first token.
    double slowdown = 1;
    /// The fault affects only attempts at targets with at least this load, from 0 to 1.
    double min_load = 0;
    /// True if only requests of one route are affected.
    bool one_route = false;
    /// Mean time until a target of the new version crashes, 0 for no crashes.
    seconds lifetime = 0;
};

/// A simulated target.
struct simulated_target {
    /// Number of open attempts.
    int open = 0;
    /// The target accepts attempts from this time on.
    seconds up_from = 0;
    /// Time of the next crash.
    seconds crash_at = 0;
    /// Factor on the time to the first token.
    double speed = 1;
    /// True if the next crash is caused by the fault of the version.
    bool crash_is_version_fault = false;
};

enum class event_kind : std::uint8_t { arrive, first_token, end };

/// A simulated request.
struct simulated_request {
    std::uint64_t id = 0;
    /// Index of the instance that handles it.
    int instance = 0;
    /// Bit 0 is the route, bit 1 the size of the client account.
    int stratum = 0;
    /// Index of the target of the current attempt.
    std::size_t target = 0;
    /// Number of the current attempt, from 1.
    int attempt = 0;
    /// True if the request crashes every target that runs it.
    bool is_poison = false;
    /// True if the current attempt is affected by the fault of the version.
    bool is_faulty = false;
    std::optional<rollout::placed_attempt> placed;
    std::optional<rollout::placed_attempt> first_loss;
    seconds first_loss_at = 0;
    seconds first_token = 0;
    rollout::attempt_end end = rollout::attempt_end::finished;
};

/// A scheduled event. Events of an earlier attempt than the request's current one are ignored.
struct event {
    seconds time;
    event_kind kind;
    std::size_t request;
    int attempt;

    /// Orders a priority_queue by earliest time first.
    bool operator<(const event& other) const { return time > other.time; }
};

} // namespace cyclamen::bench
