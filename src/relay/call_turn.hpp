#pragma once

#include <compare>
#include <optional>

#include "limits/send_policy.hpp"
#include "relay/placement.hpp"

namespace cyclamen::relay {

/// Whether a call to a plain service is sent, and to which target.
struct call_turn {
    const limits::send_verdict verdict;
    /// Empty unless the call is sent.
    const std::optional<placement> placed;
    /// When a waiting call asks again.
    const core::instant ask_at;
    /// Delay after which there is a place for a refused call.
    const core::duration retry_after;

    auto operator<=>(const call_turn&) const = default;
};

} // namespace cyclamen::relay
