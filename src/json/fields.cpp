#include "json/fields.hpp"

#include "json/schema.hpp"

namespace cyclamen::json {

nlohmann::json parse_or_null(std::string_view text)
{
    auto parsed = parse(text, "message");
    return parsed.ok() ? *std::move(parsed) : nlohmann::json{};
}

std::string to_text(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::string> to_exact_text(const nlohmann::json& document)
{
    try {
        return document.dump();
    }
    catch (const nlohmann::json::type_error&) {
        return std::nullopt;
    }
}

const nlohmann::json& member_of(const nlohmann::json& body, const char* name)
{
    static const nlohmann::json none;
    const auto found = body.find(name);
    return found == body.end() ? none : *found;
}

std::string text_at(const nlohmann::json& body, const char* name)
{
    const nlohmann::json& member = member_of(body, name);
    return member.is_string() ? member.get<std::string>() : std::string{};
}

std::optional<std::uint64_t> count_at(const nlohmann::json& body, const char* name)
{
    const nlohmann::json& member = member_of(body, name);
    if (!member.is_number_unsigned() || member.get<std::uint64_t>() > max_whole_number) {
        return std::nullopt;
    }
    return member.get<std::uint64_t>();
}

std::optional<double> amount_at(const nlohmann::json& body, const char* name)
{
    const nlohmann::json& member = member_of(body, name);
    if (!member.is_number()) {
        return std::nullopt;
    }
    const auto value = member.get<double>();
    const bool in_range = value >= 0.0 && value <= static_cast<double>(max_whole_number);
    return in_range ? std::optional{value} : std::nullopt;
}

bool flag_at(const nlohmann::json& body, const char* name)
{
    const nlohmann::json& member = member_of(body, name);
    return member.is_boolean() && member.get<bool>();
}

} // namespace cyclamen::json
