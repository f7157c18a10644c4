#include "relay/least_work_chooser.hpp"

#include <algorithm>

namespace cyclamen::relay {

std::size_t least_work_chooser::choose(const std::vector<candidate>& candidates,
                                       const core::failure_domain_name& local_domain)
{
    const auto targets = static_cast<double>(candidates.size());
    const auto cost = [&](const candidate& option) {
        const double domain_penalty =
            option.record->domain == local_domain ? 0.0 : settings_.cross_domain_cost;
        std::uint32_t running = option.work->open;
        double waiting = 0.0;
        double memory = 0.0;
        if (option.load != nullptr) {
            // The report shows the load from other instances; own requests that are newer than
            // the report are only in the local count.
            running = std::max(running, option.load->running);
            waiting = settings_.waiting_cost * option.load->waiting;
            memory = settings_.memory_cost * static_cast<double>(option.load->memory_used);
        }
        // The request's own share is part of it, since a slow target takes longer for it as well.
        const double work = waiting + static_cast<double>(option.work->unread_tokens) +
                            settings_.running_cost * (running + 1.0) +
                            static_cast<double>(option.prompt_tokens);
        const double excess = option.takes_well == 0 || running < option.takes_well
                                  ? 0.0
                                  : running + 1.0 - option.takes_well;
        return option.pace * work + settings_.excess_cost * excess + memory +
               settings_.running_cost * option.work->copies +
               settings_.step_cost * targets * option.distance + domain_penalty;
    };
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const candidate& left, const candidate& right) { return cost(left) < cost(right); });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace cyclamen::relay
