#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::call {

/// Limits of calls.
struct call_settings {
    /// Longest wait for the claim of a call, and for the answer to another send of it.
    const core::duration claim_limit = std::chrono::milliseconds{2000};
    /// Time between two looks at a claim whose answer was lost.
    const core::duration recheck_period = std::chrono::milliseconds{250};
    /// Time between two looks at a claim that another send holds.
    const core::duration watch_period = std::chrono::milliseconds{250};
    /// Longest wait for the answer of a target.
    const core::duration answer_limit = std::chrono::seconds{10};
    /// How long an answer is still taken once the caller was told that the outcome is unknown.
    const core::duration late_limit = std::chrono::seconds{60};
    /// Wait before a claim's end state is written again.
    const core::duration claim_write_retry_period = std::chrono::milliseconds{500};
    /// Most targets that one call is offered to.
    const std::uint32_t most_attempts = 3;
    /// Longest body of an answer that is kept for repeats, in bytes.
    const std::size_t max_stored_body_bytes = 65'536;
    /// How many calls that were sent this instance remembers without the store.
    const std::size_t max_recent_calls = 10'000;

    auto operator<=>(const call_settings&) const = default;
};

} // namespace cyclamen::call
