#include "limits/fair_shares.hpp"

#include <algorithm>
#include <numeric>

namespace cyclamen::limits {

std::vector<double> divide_fairly(double capacity, std::span<const claim> claims)
{
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Claims with the lowest demand relative to their weight are satisfied first.
    std::ranges::sort(order, {},
                      [&](std::size_t i) { return claims[i].demand / claims[i].weight; });
    double weight_left = 0.0;
    for (const claim& claimant : claims) {
        weight_left += claimant.weight;
    }
    std::vector<double> parts(claims.size());
    double capacity_left = std::max(0.0, capacity);
    for (const std::size_t i : order) {
        const double fair = capacity_left * claims[i].weight / weight_left;
        parts[i] = std::min(claims[i].demand, fair);
        capacity_left = std::max(0.0, capacity_left - parts[i]);
        weight_left -= claims[i].weight;
    }
    return parts;
}

} // namespace cyclamen::limits
