#pragma once

#include <compare>
#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamen::explain {

/// A line of a request's story.
struct timeline_entry {
    /// As written, which sorts by time.
    const std::string time;
    /// File that it comes from.
    const std::string source;
    const std::string text;

    auto operator<=>(const timeline_entry&) const = default;
};

/// A log, line by line.
struct log_text {
    const std::string source;
    const std::vector<std::string> lines;

    auto operator<=>(const log_text&) const = default;
};

/// @return the lines of a log
[[nodiscard]] log_text read_log(std::string source, std::istream& from);

/// Puts together what logs say of one request: its own lines, and what the instances that had it
/// learnt meanwhile of the targets that it met, of their store and of themselves.
/// @param request id of the request
/// @param logs logs of all instances that may have had it
/// @return the lines in the order of their time; empty where no log names the request
[[nodiscard]] std::vector<timeline_entry> build_timeline(const std::string& request,
                                                         const std::vector<log_text>& logs);

} // namespace cyclamen::explain
