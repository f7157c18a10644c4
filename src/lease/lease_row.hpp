#pragma once

#include <compare>
#include <optional>
#include <string>

#include "core/identifier.hpp"

namespace cyclamen::lease {

/// Increases with every new holder of the lease. Engines that check it reject an order whose number
/// is lower than the highest one they have received.
using fencing_number = core::number<struct fencing_number_tag>;

/// Contents of the row of the lease.
struct lease_row {
    const core::instance_name holder;
    const core::incarnation incarnation;
    const fencing_number fence;

    auto operator<=>(const lease_row&) const = default;
};

/// @return the contents as stored in the table: holder, incarnation and fence, separated by spaces
[[nodiscard]] std::string to_string(const lease_row& row);

/// @param text stored contents of the row
/// @return the decoded contents, empty if the text has another format
[[nodiscard]] std::optional<lease_row> parse_lease_row(const std::string& text);

} // namespace cyclamen::lease
