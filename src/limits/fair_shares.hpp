#pragma once

#include <compare>
#include <span>
#include <vector>

namespace cyclamen::limits {

/// What one claimant wants of a capacity.
struct claim {
    /// Its share relative to others, above 0.
    const double weight;
    /// What it can use.
    const double demand;

    auto operator<=>(const claim&) const = default;
};

/// Divides a capacity by weighted max-min fairness: nobody gets more than it wants, and what some
/// leave idle goes to the others by weight.
/// @param capacity what there is
/// @param claims who wants it
/// @return what each gets, in the order of the claims
[[nodiscard]] std::vector<double> divide_fairly(double capacity, std::span<const claim> claims);

} // namespace cyclamen::limits
