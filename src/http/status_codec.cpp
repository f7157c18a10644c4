#include "http/status_codec.hpp"

#include <nlohmann/json.hpp>

#include "core/error.hpp"

namespace cyclamen::http {

namespace {

using document = nlohmann::json;

std::int64_t to_whole_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

absl::Status unreadable(const char* what)
{
    return core::make_error(core::error_kind::invalid_argument,
                            std::string{"the target's answer is no "} + what,
                            "see which protocol the target speaks");
}

} // namespace

std::string encode_load(const api::target_load_report& told)
{
    return document{{"running", told.running},
                    {"waiting", told.waiting},
                    {"capacity", told.capacity},
                    {"age_ms", to_whole_milliseconds(told.age)},
                    {"leaving", told.leaving}}
        .dump();
}

absl::StatusOr<api::target_load_report> decode_load(std::string_view body,
                                                    const core::target_name& target)
{
    const document parsed = document::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return unreadable("load report");
    }
    try {
        return api::target_load_report{
            target,
            parsed.at("running").get<std::uint32_t>(),
            parsed.value("waiting", 0U),
            parsed.value("capacity", 0U),
            std::chrono::milliseconds{parsed.value("age_ms", std::int64_t{0})},
            parsed.value("leaving", false)};
    }
    catch (const document::exception&) {
        return unreadable("load report");
    }
}

std::string encode_cache_events(const std::vector<api::target_cache_change>& told)
{
    document events = document::array();
    for (const api::target_cache_change& each : told) {
        events.push_back({{"number", each.number},
                          {"stored", each.stored},
                          {"dropped", each.dropped},
                          {"age_ms", to_whole_milliseconds(each.age)}});
    }
    return document{{"events", std::move(events)}}.dump();
}

absl::StatusOr<std::vector<api::target_cache_change>>
decode_cache_events(std::string_view body, const core::target_name& target)
{
    const document parsed = document::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("events")) {
        return unreadable("list of cache events");
    }
    try {
        std::vector<api::target_cache_change> told;
        for (const document& each : parsed.at("events")) {
            told.push_back(api::target_cache_change{
                target, each.at("number").get<std::uint64_t>(),
                each.value("stored", std::vector<std::uint64_t>{}),
                each.value("dropped", std::vector<std::uint64_t>{}),
                std::chrono::milliseconds{each.value("age_ms", std::int64_t{0})}});
        }
        return told;
    }
    catch (const document::exception&) {
        return unreadable("list of cache events");
    }
}

} // namespace cyclamen::http
