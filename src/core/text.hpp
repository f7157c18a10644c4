#pragma once

#include <charconv>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <absl/strings/string_view.h>
#include <fmt/format.h>

/// @file
/// Text helpers for std::string_view; the packaged Abseil has its own string_view type, which its
/// string functions expect.

namespace cyclamen::core {

namespace detail {

template <class Part>
const Part& printable(const Part& part)
{
    return part;
}

inline std::string_view printable(absl::string_view part)
{
    return {part.data(), part.size()};
}

} // namespace detail

/// Appends parts to a text.
/// @param text the text to extend
/// @param parts texts and numbers
template <class... Parts>
void append(std::string& text, const Parts&... parts)
{
    (fmt::format_to(std::back_inserter(text), "{}", detail::printable(parts)), ...);
}

/// @param parts texts and numbers
/// @return the concatenated parts
template <class... Parts>
[[nodiscard]] std::string concat(const Parts&... parts)
{
    std::string text;
    append(text, parts...);
    return text;
}

/// @param parts texts
/// @param separator text between two parts
/// @return the parts joined by the separator
template <class Range>
[[nodiscard]] std::string join(const Range& parts, std::string_view separator)
{
    std::string text;
    bool is_first = true;
    for (const auto& part : parts) {
        if (!is_first) {
            text += separator;
        }
        is_first = false;
        append(text, part);
    }
    return text;
}

/// @return the text without the blanks around it
[[nodiscard]] inline std::string_view trim(std::string_view text)
{
    while (text.starts_with(' ') || text.starts_with('\t')) {
        text.remove_prefix(1);
    }
    while (text.ends_with(' ') || text.ends_with('\t')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Removes a prefix.
/// @param text shortened if it starts with the prefix
/// @param prefix the prefix to remove
/// @return true if it was removed
inline bool consume_prefix(std::string_view& text, std::string_view prefix)
{
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

/// @param text decimal digits, with a leading minus sign for signed types
/// @return the number, empty if the whole text isn't a number or is out of range
template <class Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// @param text the text to split
/// @param separator character between two parts
/// @return the non-empty parts, in order
[[nodiscard]] inline std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0) {
            parts.push_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

} // namespace cyclamen::core
