#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace cyclamen::json {

/// One fault of a JSON document.
struct validation_error {
    /// JSON pointer of the faulty value.
    const std::string pointer;
    /// What is wrong with it.
    const std::string problem;

    auto operator<=>(const validation_error&) const = default;
};

/// Parses a text.
/// @param text JSON document
/// @param source file name or other origin, for the error message
/// @return the document, or invalid_argument with the byte offset
[[nodiscard]] absl::StatusOr<nlohmann::json> parse(std::string_view text, std::string_view source);

/// Checks a document against a JSON schema.
/// @param document what to check
/// @param schema the JSON schema (draft 7)
/// @return every fault, empty where there is none
[[nodiscard]] std::vector<validation_error> validate(const nlohmann::json& document,
                                                     const nlohmann::json& schema);

/// Turns faults into one error that lists them all.
/// @param faults at least one
/// @param source file name or other origin
/// @param remedy what the reader can do
/// @return an invalid_argument error
[[nodiscard]] absl::Status to_error(const std::vector<validation_error>& errors,
                                    std::string_view source, std::string_view remedy);

} // namespace cyclamen::json
