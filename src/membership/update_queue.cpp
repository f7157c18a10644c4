#include "membership/update_queue.hpp"

#include <algorithm>
#include <bit>

namespace cyclamen::membership {

void update_queue::add(const core::instance_name& name, std::size_t instances)
{
    rounds_left_.insert_or_assign(name, std::bit_width(instances) + extra_rounds_);
}

std::vector<core::instance_name> update_queue::take_round(std::size_t max_updates)
{
    std::vector<core::instance_name> updates;
    for (const auto& [name, rounds] : rounds_left_) {
        updates.push_back(name);
    }
    std::stable_sort(updates.begin(), updates.end(), [&](const auto& left, const auto& right) {
        return rounds_left_.at(left) > rounds_left_.at(right);
    });
    updates.resize(std::min(updates.size(), max_updates));
    for (const core::instance_name& name : updates) {
        if (--rounds_left_.at(name) == 0) {
            rounds_left_.erase(name);
        }
    }
    return updates;
}

} // namespace cyclamen::membership
