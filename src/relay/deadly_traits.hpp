#pragma once

#include <compare>
#include <set>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace cyclamen::relay {

/// Traits of a request that may make a target crash: the parts of its prompt that other requests
/// share, and its fingerprint.
using request_traits = std::set<std::string>;

/// A request that was in progress on a target when the target ended.
struct crash_suspect {
    /// The incarnation of the target; suspects with the same one are of one crash.
    const std::string crash;
    /// Traits that may be the cause.
    const request_traits traits;
    const core::instant seen_at;

    auto operator<=>(const crash_suspect&) const = default;
};

/// Requests with all these traits crash the targets that run them.
struct deadly_set {
    const request_traits traits;
    /// When the last of their crashes was seen.
    const core::instant last_crash;

    auto operator<=>(const deadly_set&) const = default;
};

/// Finds the traits that crashes have in common. A crash has one cause: of the requests that were
/// in progress on the target, those whose traits speak more for it clear the others: traits of more
/// crashes, up to the threshold, then those of fewer suspects in each of them.
///
/// @param suspects the requests of all crashes, of one service
/// @param threshold number of crashes with a common trait from which on that trait is deadly
/// @return the deadly sets, without duplicates; empty if there are none
[[nodiscard]] std::vector<deadly_set> find_deadly_sets(const std::vector<crash_suspect>& suspects,
                                                       std::size_t threshold);

} // namespace cyclamen::relay
