#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamen::explain {

/// One line of a log, decoded.
struct log_line {
    /// As written, which sorts by time.
    const std::string time;
    const std::string event;
    /// The other fields in their order.
    const std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const log_line&) const = default;

    /// @return the value of a field, empty where it is absent
    [[nodiscard]] std::string_view find(std::string_view key) const;
};

/// @param text a line; what stands before its time, such as the name of a machine, is ignored
/// @return the line, empty where it is no line of this log
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace cyclamen::explain
