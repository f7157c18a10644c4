#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::call {

/// Limits and periods of calls.
struct call_settings {
    /// Time limit for claiming a call, including the wait for the answer to another send of it.
    const core::duration claim_limit = std::chrono::milliseconds{2000};
    /// Period of reading a claim again after the answer to its write was lost.
    const core::duration recheck_period = std::chrono::milliseconds{250};
    /// Period of reading a claim that another send holds.
    const core::duration watch_period = std::chrono::milliseconds{250};
    /// Time limit for the answer of a target.
    const core::duration answer_limit = std::chrono::seconds{10};
    /// How long a late answer is still accepted after an unknown outcome was reported to the
    /// caller.
    const core::duration late_limit = std::chrono::seconds{60};
    /// Delay before the final state of a claim is written again.
    const core::duration claim_write_retry_period = std::chrono::milliseconds{500};
    /// Maximum number of attempts of one call.
    const std::uint32_t most_attempts = 3;
    /// Maximum size of a response body that is stored for retried requests, in bytes.
    const std::size_t max_stored_body_bytes = 65'536;
    /// Number of sent calls that an instance remembers independently of the store.
    const std::size_t max_recent_calls = 10'000;
    /// Time from the news of a restore in which a repeat that finds no claim isn't run. The other
    /// instances hear of the restore with their next answer of the store, and then write their
    /// claims again.
    const core::duration restore_period = std::chrono::seconds{60};

    auto operator<=>(const call_settings&) const = default;
};

} // namespace cyclamen::call
