#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "model/label_set.hpp"

namespace cyclamen::model {

/// How a requirement tests one label.
enum class label_test { equals, not_equals, in, not_in, exists, not_exists };

/// One condition on one label.
struct requirement {
    const std::string key;
    const label_test test;
    /// Sorted; one value for equals and not_equals, none for exists and not_exists.
    const std::vector<std::string> values;

    auto operator<=>(const requirement&) const = default;

    /// @return true where the labels meet the condition; not_equals and not_in hold for an absent
    /// label
    [[nodiscard]] bool matches(const label_set& labels) const;
};

/// Selects objects by their labels: all requirements must hold. Without requirements it selects
/// all.
class selector {
  public:
    selector() = default;

    /// Parses `key=value, key!=value, key in (a,b), key notin (a,b), key, !key`.
    /// @param text the selector
    /// @return the selector, or invalid_argument that names the column of the fault
    [[nodiscard]] static absl::StatusOr<selector> parse(std::string_view text);

    /// @return true where all requirements hold
    [[nodiscard]] bool matches(const label_set& labels) const;

    /// @return true where some label set may match both; false only where that is impossible
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
