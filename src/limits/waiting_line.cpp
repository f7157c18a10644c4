#include "limits/waiting_line.hpp"

#include <algorithm>
#include <iterator>

namespace cyclamen::limits {

bool waiting_line::add(const waiting_place& place)
{
    if (find(place.number) != nullptr) {
        return true;
    }
    if (order_.size() >= max_size_) {
        const waiting_place& last = *order_.rbegin();
        if (last.urgency <= place.urgency) {
            return false;
        }
        remove(last.number);
    }
    places_.emplace(place.number, order_.insert(place).first);
    return true;
}

void waiting_line::remove(std::uint64_t number)
{
    const auto found = places_.find(number);
    if (found != places_.end()) {
        order_.erase(found->second);
        places_.erase(found);
    }
}

const waiting_place* waiting_line::find(std::uint64_t number) const
{
    const auto found = places_.find(number);
    return found == places_.end() ? nullptr : &*found->second;
}

bool waiting_line::is_first(const waiting_place& place, core::instant now) const
{
    const auto first = std::find_if(order_.begin(), order_.end(), [&](const waiting_place& each) {
        return each.number != place.number && each.latest_start >= now;
    });
    return first == order_.end() || place < *first;
}

} // namespace cyclamen::limits
