#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace cyclamen::json {

/// A violation of a JSON schema, or another error in a JSON document.
struct validation_error {
    /// JSON pointer of the invalid value.
    const std::string pointer;
    /// What is wrong with it.
    const std::string problem;

    auto operator<=>(const validation_error&) const = default;
};

/// Parses JSON text.
/// @param text JSON document
/// @param source file name or other origin, for the error message
/// @return the document; invalid_argument with the byte position of a syntax error, or if a number
///         is out of range or the text is nested too deeply
[[nodiscard]] absl::StatusOr<nlohmann::json> parse(std::string_view text, std::string_view source);

/// Validates a document against a JSON schema.
/// @param document the document
/// @param schema the JSON schema (draft 7)
/// @return all errors, empty if the document is valid
[[nodiscard]] std::vector<validation_error> validate(const nlohmann::json& document,
                                                     const nlohmann::json& schema);

/// Combines validation errors into one status that lists them all.
/// @param errors at least one
/// @param source file name or other origin, for the error message
/// @param remedy what the reader can do
/// @return an invalid_argument error
[[nodiscard]] absl::Status to_error(const std::vector<validation_error>& errors,
                                    std::string_view source, std::string_view remedy);

} // namespace cyclamen::json
