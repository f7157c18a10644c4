#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "routing/pace_source.hpp"

/// @file
/// Encoding of paces in the messages by which instances replicate tables from each other. They are
/// an extension field of these messages, which instances that don't know it ignore:
///
///     message pace_changes { uint64 position = 1; repeated pace_report paces = 2; }
///     message pace_report { string target = 1; uint64 born_ms = 2; float factor = 3;
///                           float weight = 4; uint32 age_ms = 5; }

namespace cyclamen::replica {

/// Paces of targets, with the sender's or the receiver's position in the reader's changes.
struct pace_changes {
    std::vector<routing::pace_report> paces;
    std::uint64_t position = 0;

    auto operator<=>(const pace_changes&) const = default;
};

/// Appends the extension field to an encoded message; nothing if there is nothing to tell.
void append_paces(const pace_changes& changes, std::string& message);

/// @param message an encoded message
/// @return the paces in its extension field without reports that no instance can have made; none
///         if the field is missing or damaged
[[nodiscard]] pace_changes find_paces(std::string_view message);

} // namespace cyclamen::replica
