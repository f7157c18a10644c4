#pragma once

#include <compare>
#include <cstdint>

namespace cyclamen::limits {

/// Work on one engine, as it is known when a request is about to be placed there. The engine's own
/// figures are some hundred milliseconds old.
struct engine_load {
    /// Requests without an event yet: they wait for a slot or for memory, or are being read.
    const std::uint32_t waiting;
    const std::uint32_t running;
    /// Prompt tokens of requests from this instance that the engine has not answered yet.
    const std::uint64_t unread_tokens;
    /// Tokens in memory that can't be evicted.
    const std::uint64_t memory_used;
    /// Capacity of the memory in tokens, 0 if unknown.
    const std::uint64_t memory_total;
    /// Number of requests that the engine runs at the same time, 0 if unknown.
    const std::uint32_t slots;
    /// Tokens in memory of running requests that are less urgent than the one to be placed, and the
    /// number of these requests.
    const std::uint64_t yielding_tokens = 0;
    const std::uint32_t yielding_runs = 0;
    /// Tokens in memory of running requests that are more urgent.
    const std::uint64_t urgent_tokens = 0;
    /// Expected time factor of the engine, 1 = usual for its service.
    const double pace = 1.0;

    auto operator<=>(const engine_load&) const = default;
};

} // namespace cyclamen::limits
