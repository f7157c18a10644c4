#include "chart/chart.hpp"

namespace cyclamen::chart {

std::optional<state_index> chart::find(std::string_view state_name) const
{
    for (state_index index = 0; index < states_.size(); ++index) {
        if (states_[index].name == state_name) {
            return index;
        }
    }
    return std::nullopt;
}

bool chart::is_within(state_index index, state_index ancestor) const
{
    std::optional<state_index> current = index;
    while (current.has_value()) {
        if (*current == ancestor) {
            return true;
        }
        current = states_.at(*current).parent;
    }
    return false;
}

} // namespace cyclamen::chart
