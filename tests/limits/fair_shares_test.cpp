#include "limits/fair_shares.hpp"

#include <numeric>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cyclamen;

RC_BOOST_PROP(division_is_work_conserving_and_weighted_max_min_fair, ())
{
    const auto weights =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)));
    const double capacity = *rc::gen::inRange(0, 1000);
    std::vector<limits::claim> claims;
    double total_demand = 0.0;
    for (const int weight : weights) {
        claims.push_back(limits::claim{static_cast<double>(weight),
                                       static_cast<double>(*rc::gen::inRange(0, 300))});
        total_demand += claims.back().demand;
    }
    const std::vector<double> parts = limits::divide_fairly(capacity, claims);
    constexpr double tolerance = 1e-6;
    const double given = std::accumulate(parts.begin(), parts.end(), 0.0);
    RC_ASSERT(std::abs(given - std::min(capacity, total_demand)) < tolerance);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        RC_ASSERT(parts[i] <= claims[i].demand + tolerance);
        for (std::size_t j = 0; j < parts.size(); ++j) {
            // A claim that is not fully satisfied gets, by weight, no less than any other claim.
            const bool is_short = parts[i] < claims[i].demand - tolerance;
            RC_ASSERT(!is_short ||
                      parts[i] / claims[i].weight >= parts[j] / claims[j].weight - tolerance);
        }
    }
}
