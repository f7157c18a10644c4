#include "model/label_set.hpp"

#include "core/text.hpp"

namespace cyclamen::model {

std::optional<std::string_view> label_set::find(std::string_view key) const
{
    const auto found = labels_.find(key);
    if (found == labels_.end()) {
        return std::nullopt;
    }
    return found->second;
}

label_set label_set::with(std::string key, std::string value) const
{
    auto labels = labels_;
    labels.insert_or_assign(std::move(key), std::move(value));
    return label_set{std::move(labels)};
}

std::string to_string(const label_set& labels)
{
    std::string text;
    for (const auto& [key, value] : labels.all()) {
        core::append(text, text.empty() ? "" : ",", key, "=", value);
    }
    return text;
}

} // namespace cyclamen::model
