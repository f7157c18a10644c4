#include "relay/least_work_chooser.hpp"

#include <algorithm>

namespace cyclamen::relay {

std::size_t least_work_chooser::choose(const std::vector<candidate>& candidates,
                                       const core::failure_domain_name& local_domain)
{
    const auto targets = static_cast<double>(candidates.size());
    const auto cost = [&](const candidate& each) {
        const double domain_penalty =
            each.record->domain == local_domain ? 0.0 : settings_.cross_domain_cost;
        double reported = 0.0;
        if (each.load != nullptr) {
            // The report holds what others have there; what is newer than it, only the own count.
            const std::uint32_t others =
                each.load->running - std::min(each.load->running, each.work->open);
            reported = settings_.waiting_cost * each.load->waiting +
                       settings_.running_cost * others +
                       settings_.memory_cost * static_cast<double>(each.load->memory_used);
        }
        return reported + static_cast<double>(each.work->unread_tokens) +
               settings_.running_cost * (each.work->open + each.work->copies) +
               settings_.step_cost * targets * each.distance + domain_penalty;
    };
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const candidate& left, const candidate& right) { return cost(left) < cost(right); });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace cyclamen::relay
