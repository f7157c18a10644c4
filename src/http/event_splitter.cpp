#include "http/event_splitter.hpp"

namespace cyclamen::http {

namespace {

/// @return offset after the last complete event, 0 if none is complete
std::size_t end_of_events(std::string_view bytes)
{
    std::size_t end = 0;
    for (const std::string_view blank_line : {"\n\n", "\n\r\n", "\r\r"}) {
        const std::size_t found = bytes.rfind(blank_line);
        if (found != std::string_view::npos) {
            end = std::max(end, found + blank_line.size());
        }
    }
    return end;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    if (is_too_long()) {
        return {};
    }
    pending_.append(bytes);
    const std::size_t end = end_of_events(pending_);
    std::string complete = pending_.substr(0, end);
    pending_.erase(0, end);
    return complete;
}

std::string_view last_event_id(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t found = events.rfind(field);
    while (found != std::string_view::npos && found > 0 && events[found - 1] != '\n' &&
           events[found - 1] != '\r') {
        found = events.rfind(field, found - 1);
    }
    if (found == std::string_view::npos) {
        return {};
    }
    std::string_view value = events.substr(found + field.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace cyclamen::http
