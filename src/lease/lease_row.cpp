#include "lease/lease_row.hpp"

#include "core/text.hpp"

namespace cyclamen::lease {

std::string to_string(const lease_row& row)
{
    return core::concat(row.holder.str(), " ", row.incarnation.value(), " ", row.fence.value());
}

std::optional<lease_row> parse_lease_row(const std::string& text)
{
    constexpr std::size_t part_count = 3;
    const auto parts = core::split(text, ' ');
    if (parts.size() != part_count) {
        return std::nullopt;
    }
    const auto incarnation = core::parse_number<std::uint64_t>(parts[1]);
    const auto fence = core::parse_number<std::uint64_t>(parts[2]);
    if (!incarnation.has_value() || !fence.has_value()) {
        return std::nullopt;
    }
    return lease_row{core::instance_name{std::string{parts[0]}}, core::incarnation{*incarnation},
                     fencing_number{*fence}};
}

} // namespace cyclamen::lease
