#include "relay/least_work_chooser.hpp"

#include <algorithm>

namespace cyclamen::relay {

std::size_t least_work_chooser::choose(const std::vector<candidate>& candidates,
                                       const core::failure_domain_name& home)
{
    const auto cost = [&](const candidate& each) {
        const double away = each.record->domain == home ? 0.0 : settings_.domain_cost;
        return static_cast<double>(each.work->unread_tokens) +
               settings_.running_cost * (each.work->open + each.work->copies) +
               settings_.distance_cost * each.distance + away;
    };
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const candidate& left, const candidate& right) { return cost(left) < cost(right); });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace cyclamen::relay
