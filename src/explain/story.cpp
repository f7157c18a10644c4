#include "explain/story.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <set>

#include "explain/log_line.hpp"

namespace cyclamen::explain {

namespace {

/// Events that concern every request of an instance.
constexpr std::array<std::string_view, 8> shared_events{
    "configuration_applied", "instance_started", "instance_serving", "instance_leaving",
    "instance_ended",        "store_lost",       "store_regained",   "reader_lost"};

/// Fields that name a target.
constexpr std::array<std::string_view, 3> target_fields{"target", "standby", "copy_at"};

bool is_shared(std::string_view event)
{
    return std::find(shared_events.begin(), shared_events.end(), event) != shared_events.end();
}

/// What one log says of the request itself.
struct own_part {
    std::set<std::string, std::less<>> targets;
    std::string first_time;
    std::string last_time;
};

std::optional<own_part> find_own_part(const std::string& request, const log_text& log)
{
    own_part found;
    for (const std::string& each : log.lines) {
        const auto line = parse_log_line(each);
        if (!line.has_value() || line->find("request") != request) {
            continue;
        }
        found.first_time = found.first_time.empty() ? line->time : found.first_time;
        found.last_time = line->time;
        for (const std::string_view field : target_fields) {
            found.targets.emplace(line->find(field));
        }
    }
    found.targets.erase("");
    found.targets.erase("none");
    return found.first_time.empty() ? std::nullopt : std::optional{std::move(found)};
}

bool belongs(const log_line& line, const std::string& request, const own_part& own)
{
    const std::string_view named = line.find("request");
    if (!named.empty()) {
        return named == request;
    }
    if (line.time > own.last_time) {
        return false;
    }
    // What was believed when it came counts too: beliefs before its first line are kept.
    const std::string_view target = line.find("target");
    return target.empty() ? is_shared(line.event) : own.targets.contains(target);
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

std::vector<story_line> tell_story(const std::string& request, const std::vector<log_text>& logs)
{
    std::vector<story_line> story;
    for (const log_text& log : logs) {
        const auto own = find_own_part(request, log);
        if (!own.has_value()) {
            continue;
        }
        for (const std::string& each : log.lines) {
            const auto line = parse_log_line(each);
            if (line.has_value() && belongs(*line, request, *own)) {
                story.push_back(
                    story_line{line->time, log.source, each.substr(each.find("time="))});
            }
        }
    }
    std::vector<const story_line*> order;
    for (const story_line& each : story) {
        order.push_back(&each);
    }
    std::stable_sort(
        order.begin(), order.end(),
        [](const story_line* left, const story_line* right) { return left->time < right->time; });
    std::vector<story_line> sorted;
    for (const story_line* each : order) {
        sorted.push_back(*each);
    }
    return sorted;
}

} // namespace cyclamen::explain
