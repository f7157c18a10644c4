#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "model/label_set.hpp"

namespace cyclamen::model {

/// How a requirement tests a label.
enum class label_test { equals, not_equals, in, not_in, exists, not_exists };

/// A condition on one label.
struct requirement {
    const std::string key;
    const label_test test;
    /// Sorted. One value for equals and not_equals, none for exists and not_exists.
    const std::vector<std::string> values;

    auto operator<=>(const requirement&) const = default;

    /// @return true if the labels satisfy the condition; an absent label satisfies not_equals and
    /// not_in
    [[nodiscard]] bool matches(const label_set& labels) const;
};

/// Selects objects by their labels: all requirements must hold. A selector without requirements
/// selects every object.
class selector {
  public:
    selector() = default;

    /// Parses `key=value, key!=value, key in (a,b), key notin (a,b), key, !key`.
    /// @param text the selector
    /// @return the selector, or invalid_argument with the column of the error
    [[nodiscard]] static absl::StatusOr<selector> parse(std::string_view text);

    /// @return true if the labels satisfy all requirements
    [[nodiscard]] bool matches(const label_set& labels) const;

    /// Tests whether two selectors may select the same object. Conservative: compares the
    /// requirements pairwise.
    /// @return false only if no label set can match both selectors
    [[nodiscard]] bool may_overlap(const selector& other) const;

    [[nodiscard]] const std::vector<requirement>& requirements() const { return requirements_; }

    auto operator<=>(const selector&) const = default;

  private:
    explicit selector(std::vector<requirement> requirements)
        : requirements_{std::move(requirements)}
    {
    }

    std::vector<requirement> requirements_;
};

/// @return the requirement in the syntax of selector::parse()
[[nodiscard]] std::string to_string(const requirement& condition);

/// @return the selector in the syntax of selector::parse()
[[nodiscard]] std::string to_string(const selector& selected);

} // namespace cyclamen::model
