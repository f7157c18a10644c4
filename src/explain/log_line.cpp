#include "explain/log_line.hpp"

#include <absl/strings/escaping.h>

namespace cyclamen::explain {

namespace {

/// Parses the key=value pair at the front of a text and removes it from the text. A quoted value is
/// unescaped.
/// @return the pair, empty if there is none or its quoting is malformed
std::optional<std::pair<std::string, std::string>> consume_field(std::string_view& text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    std::string key{text.substr(0, equals)};
    text.remove_prefix(equals + 1);
    if (!text.starts_with('"')) {
        const std::size_t end = std::min(text.find(' '), text.size());
        std::string value{text.substr(0, end)};
        text.remove_prefix(end);
        return std::pair{std::move(key), std::move(value)};
    }
    std::size_t end = 1;
    while (end < text.size() && text[end] != '"') {
        end += text[end] == '\\' ? 2 : 1;
    }
    if (end >= text.size()) {
        return std::nullopt;
    }
    std::string value;
    const std::string_view quoted = text.substr(1, end - 1);
    if (!absl::CUnescape(absl::string_view{quoted.data(), quoted.size()}, &value)) {
        return std::nullopt;
    }
    text.remove_prefix(end + 1);
    return std::pair{std::move(key), std::move(value)};
}

} // namespace

std::string_view log_line::find(std::string_view key) const
{
    for (const auto& [name, value] : fields) {
        if (name == key) {
            return value;
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const std::size_t start = text.find("time=");
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(start);
    std::string time;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    while (auto field = consume_field(text)) {
        if (field->first == "time") {
            time = std::move(field->second);
        }
        else if (field->first == "event") {
            event = std::move(field->second);
        }
        else {
            fields.push_back(*std::move(field));
        }
    }
    if (event.empty()) {
        return std::nullopt;
    }
    return log_line{std::move(time), std::move(event), std::move(fields)};
}

} // namespace cyclamen::explain
