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

namespace {

constexpr std::string_view id_field = "id:";

bool starts_line(std::string_view text, std::size_t position)
{
    return position == 0 || text[position - 1] == '\n' || text[position - 1] == '\r';
}

/// @param position where an id field starts, npos if there is none
std::string_view id_at(std::string_view events, std::size_t position)
{
    if (position == std::string_view::npos) {
        return {};
    }
    std::string_view value = events.substr(position + id_field.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

std::string_view first_event_id(std::string_view events)
{
    std::size_t found = events.find(id_field);
    while (found != std::string_view::npos && !starts_line(events, found)) {
        found = events.find(id_field, found + 1);
    }
    return id_at(events, found);
}

std::string_view last_event_id(std::string_view events)
{
    std::size_t found = events.rfind(id_field);
    while (found != std::string_view::npos && !starts_line(events, found)) {
        found = events.rfind(id_field, found - 1);
    }
    return id_at(events, found);
}

} // namespace cyclamen::http
