#pragma once

#include <compare>
#include <span>
#include <vector>

namespace cyclamen::limits {

/// Claim of one participant on a shared capacity.
struct claim {
    /// Weight relative to the other claims, above 0.
    const double weight;
    /// The most that it can use.
    const double demand;

    auto operator<=>(const claim&) const = default;
};

/// Divides a capacity by weighted max-min fairness: no claim gets more than its demand, and unused
/// capacity goes to the other claims by weight.
/// @param capacity the capacity to divide
/// @param claims the claims on it
/// @return the share of each claim, in the order of `claims`
[[nodiscard]] std::vector<double> divide_fairly(double capacity, std::span<const claim> claims);

} // namespace cyclamen::limits
