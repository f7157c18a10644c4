#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "rollout/outcome_recorder.hpp"

/// @file
/// What a case of the rollout bench is made of.

namespace cyclamen::bench {

/// Virtual time since the start of a case, or a length of it.
using seconds = double;

/// The fault of the new version, drawn from the seed.
struct fault_plan {
    seconds onset_at = 0;
    double failure_rate = 0;
    double slowdown = 1;
    double min_load = 0;
    bool one_route = false;
    seconds lifetime = 0;
};

/// One target.
struct simulated_target {
    int open = 0;
    seconds up_from = 0;
    seconds crash_at = 0;
    double speed = 1;
    bool crash_is_version_fault = false;
};

enum class event_kind : std::uint8_t { arrive, first_token, end };

/// One request under way.
struct simulated_request {
    std::uint64_t id = 0;
    int instance = 0;
    int stratum = 0;
    std::size_t target = 0;
    int attempt = 0;
    bool is_poison = false;
    bool is_faulty = false;
    std::optional<rollout::placed_attempt> placed;
    std::optional<rollout::placed_attempt> first_loss;
    seconds first_loss_at = 0;
    seconds first_token = 0;
    rollout::attempt_end end = rollout::attempt_end::finished;
};

struct event {
    seconds time;
    event_kind kind;
    std::size_t request;
    int attempt;

    bool operator<(const event& other) const { return time > other.time; }
};

} // namespace cyclamen::bench
