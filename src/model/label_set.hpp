#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamen::model {

/// The labels of a target, client account or other object: unique keys with one value each.
class label_set {
  public:
    label_set() = default;
    explicit label_set(std::map<std::string, std::string, std::less<>> labels)
        : labels_{std::move(labels)}
    {
    }

    /// @param key key of a label
    /// @return its value, empty if the label is absent
    [[nodiscard]] std::optional<std::string_view> find(std::string_view key) const;

    /// @param key key of a label
    /// @param value its new value
    /// @return a copy of these labels with that label added or replaced
    [[nodiscard]] label_set with(std::string key, std::string value) const;

    [[nodiscard]] const std::map<std::string, std::string, std::less<>>& all() const
    {
        return labels_;
    }

    auto operator<=>(const label_set&) const = default;

  private:
    std::map<std::string, std::string, std::less<>> labels_;
};

/// @return the labels as `key=value,key=value`
[[nodiscard]] std::string to_string(const label_set& labels);

} // namespace cyclamen::model
