#pragma once

#include <compare>
#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamen::explain {

/// A log line in the timeline of a request.
struct timeline_entry {
    /// Timestamp as written. Its text order is the order in time.
    const std::string time;
    /// Log that contains the line.
    const std::string source;
    /// The line, from its `time` field on.
    const std::string text;

    auto operator<=>(const timeline_entry&) const = default;
};

/// The lines of a log.
struct log_text {
    const std::string source;
    const std::vector<std::string> lines;

    auto operator<=>(const log_text&) const = default;
};

/// Reads a log.
/// @param source name of the log, such as its file name
/// @param from stream to read up to its end
[[nodiscard]] log_text read_log(std::string source, std::istream& from);

/// Collects the log lines that concern one request: the lines of the request itself, and the lines
/// of the instances that handled it about its targets, the store and the instances themselves, up
/// to the last line of the request in the same log.
/// @param request id of the request
/// @param logs logs of all instances that may have handled the request
/// @return the lines in the order of time, empty if no log contains the request
[[nodiscard]] std::vector<timeline_entry> build_timeline(const std::string& request,
                                                         const std::vector<log_text>& logs);

} // namespace cyclamen::explain
