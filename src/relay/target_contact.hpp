#pragma once

#include <compare>
#include <string_view>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// What was found at the address of a target that lost an attempt.
enum class contact_result {
    /// A process answered.
    answered,
    /// No process listens there.
    refused,
    /// The question was lost, or not answered in time.
    silent,
};

/// @return the name of the result, for the log
[[nodiscard]] constexpr std::string_view to_text(contact_result result)
{
    switch (result) {
    case contact_result::answered:
        return "answered";
    case contact_result::refused:
        return "refused";
    case contact_result::silent:
        break;
    }
    return "silent";
}

/// Result of a check of a target that lost an attempt.
struct target_contact {
    const contact_result result;
    /// Name that the process gave, empty if none.
    const core::target_name name = {};
    /// Start time that the process gave, the epoch if none.
    const core::wall_time started_at = {};

    auto operator<=>(const target_contact&) const = default;
};

} // namespace cyclamen::relay
