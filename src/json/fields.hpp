#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cyclamen::json {

/// Largest number that JSON carries exactly everywhere.
inline constexpr std::uint64_t max_whole_number = (std::uint64_t{1} << 53) - 1;

/// Parses a message of another process.
/// @return the document; null if the text is not JSON, has a number out of range, or is nested
///         deeper than any message
[[nodiscard]] nlohmann::json parse_or_null(std::string_view text);

/// @return the text of a document; bytes of its texts that are not UTF-8 are replaced
[[nodiscard]] std::string to_text(const nlohmann::json& document);

/// @return the text of a document, empty if one of its texts is not UTF-8
[[nodiscard]] std::optional<std::string> to_exact_text(const nlohmann::json& document);

/// @return the member of an object, null if it is missing or `body` is not an object
[[nodiscard]] const nlohmann::json& member_of(const nlohmann::json& body, const char* name);

/// @return the text, empty if the member is missing or of another type
[[nodiscard]] std::string text_at(const nlohmann::json& body, const char* name);

/// @return the whole number from 0 to max_whole_number, empty if the member is anything else
[[nodiscard]] std::optional<std::uint64_t> count_at(const nlohmann::json& body, const char* name);

/// @return the number from 0 to max_whole_number, empty if the member is anything else
[[nodiscard]] std::optional<double> amount_at(const nlohmann::json& body, const char* name);

/// @return true if the member is true
[[nodiscard]] bool flag_at(const nlohmann::json& body, const char* name);

} // namespace cyclamen::json
