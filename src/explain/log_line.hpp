#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamen::explain {

/// A parsed log line.
struct log_line {
    /// Timestamp as written. Its text order is the order in time.
    const std::string time;
    const std::string event;
    /// All other fields, in the order of the line.
    const std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const log_line&) const = default;

    /// @return the value of a field, empty if the field is absent
    [[nodiscard]] std::string_view find(std::string_view key) const;
};

/// Parses a log line.
/// @param text a line; anything before the `time` field, such as the name of a machine, is ignored
/// @return the parsed line, empty if the text isn't a line of this system's log
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace cyclamen::explain
