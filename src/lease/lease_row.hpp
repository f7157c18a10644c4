#pragma once

#include <compare>
#include <optional>
#include <string>

#include "core/identifier.hpp"

namespace cyclamen::lease {

/// Grows with every new holder of the lease. Engines that check it refuse an order with a lower
/// number than they have seen.
using fencing_number = core::number<struct fencing_number_tag>;

/// Contents of the row of the lease.
struct lease_row {
    const core::instance_name holder;
    const core::incarnation incarnation;
    const fencing_number fence;

    auto operator<=>(const lease_row&) const = default;
};

/// @return the contents as the table keeps them
[[nodiscard]] std::string to_string(const lease_row& row);

/// @param text contents of a row
/// @return the values, empty where the text is none of ours
[[nodiscard]] std::optional<lease_row> parse_lease_row(const std::string& text);

} // namespace cyclamen::lease
