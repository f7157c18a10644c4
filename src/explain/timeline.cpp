#include "explain/timeline.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <set>

#include "explain/log_line.hpp"

namespace cyclamen::explain {

namespace {

/// Events that affect every request of an instance.
constexpr std::array<std::string_view, 8> instance_events{
    "configuration_applied", "instance_started", "instance_serving", "instance_leaving",
    "instance_ended",        "store_lost",       "store_regained",   "reader_lost"};

/// Fields whose value is the name of a target.
constexpr std::array<std::string_view, 3> target_fields{"target", "standby", "copy_at"};

bool is_instance_event(std::string_view event)
{
    return std::find(instance_events.begin(), instance_events.end(), event) !=
           instance_events.end();
}

/// Targets of a request, and its last line in one log.
struct request_span {
    std::set<std::string, std::less<>> targets;
    /// Lines may have the same time, so the end is a position.
    std::size_t last_line = 0;
};

std::optional<request_span> find_request_span(const std::string& request, const log_text& log)
{
    request_span span;
    bool found = false;
    for (std::size_t i = 0; i < log.lines.size(); ++i) {
        const auto line = parse_log_line(log.lines[i]);
        if (!line.has_value() || line->find("request") != request) {
            continue;
        }
        found = true;
        span.last_line = i;
        for (const std::string_view field : target_fields) {
            span.targets.emplace(line->find(field));
        }
    }
    span.targets.erase("");
    span.targets.erase("none");
    return found ? std::optional{std::move(span)} : std::nullopt;
}

/// @param position position of the line in its log
/// @return true if a line belongs to the timeline of a request
bool is_relevant(const log_line& line, std::size_t position, const std::string& request,
                 const request_span& span)
{
    const std::string_view line_request = line.find("request");
    if (!line_request.empty()) {
        return line_request == request;
    }
    if (position > span.last_line) {
        return false;
    }
    // Lines before the request's first line are kept: they show what the instance knew about the
    // targets when the request arrived.
    const std::string_view target = line.find("target");
    return target.empty() ? is_instance_event(line.event) : span.targets.contains(target);
}

} // namespace

log_text read_log(std::string source, std::istream& from)
{
    std::vector<std::string> lines;
    for (std::string line; std::getline(from, line);) {
        lines.push_back(line);
    }
    return log_text{std::move(source), std::move(lines)};
}

std::vector<timeline_entry> build_timeline(const std::string& request,
                                           const std::vector<log_text>& logs)
{
    std::vector<timeline_entry> timeline;
    for (const log_text& log : logs) {
        const auto span = find_request_span(request, log);
        if (!span.has_value()) {
            continue;
        }
        for (std::size_t i = 0; i < log.lines.size(); ++i) {
            const std::string& each = log.lines[i];
            const auto line = parse_log_line(each);
            if (line.has_value() && is_relevant(*line, i, request, *span)) {
                timeline.push_back(
                    timeline_entry{line->time, log.source, each.substr(each.find("time="))});
            }
        }
    }
    std::vector<const timeline_entry*> order;
    for (const timeline_entry& each : timeline) {
        order.push_back(&each);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const timeline_entry* left, const timeline_entry* right) {
                         return left->time < right->time;
                     });
    std::vector<timeline_entry> sorted;
    for (const timeline_entry* each : order) {
        sorted.push_back(*each);
    }
    return sorted;
}

} // namespace cyclamen::explain
