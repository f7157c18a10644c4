#include "chart/vocabulary.hpp"

#include <algorithm>

namespace cyclamen::chart {

std::optional<symbol> find_symbol(std::span<const std::string> names, std::string_view text)
{
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<symbol>(found - names.begin());
}

} // namespace cyclamen::chart
