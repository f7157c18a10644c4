#include "http/status_codec.hpp"

#include <nlohmann/json.hpp>

#include "core/error.hpp"
#include "json/fields.hpp"

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
                            std::string{"the target's answer is not a "} + what,
                            "check which protocol the target speaks");
}

} // namespace

std::string encode_load(const api::target_load_report& load)
{
    return document{{"running", load.running},
                    {"waiting", load.waiting},
                    {"capacity", load.capacity},
                    {"age_ms", to_whole_milliseconds(load.age)},
                    {"leaving", load.leaving}}
        .dump();
}

absl::StatusOr<api::target_load_report> decode_load(std::string_view body,
                                                    const core::target_name& target)
{
    const document parsed = json::parse_or_null(body);
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

std::string encode_cache_events(const std::vector<api::target_cache_change>& changes)
{
    document events = document::array();
    for (const api::target_cache_change& change : changes) {
        events.push_back({{"number", change.number},
                          {"stored", change.stored},
                          {"dropped", change.dropped},
                          {"age_ms", to_whole_milliseconds(change.age)}});
    }
    return document{{"events", std::move(events)}}.dump();
}

absl::StatusOr<std::vector<api::target_cache_change>>
decode_cache_events(std::string_view body, const core::target_name& target)
{
    const document parsed = json::parse_or_null(body);
    if (!parsed.is_object() || !parsed.contains("events")) {
        return unreadable("list of cache events");
    }
    try {
        std::vector<api::target_cache_change> changes;
        for (const document& event : parsed.at("events")) {
            changes.push_back(api::target_cache_change{
                target, event.at("number").get<std::uint64_t>(),
                event.value("stored", std::vector<std::uint64_t>{}),
                event.value("dropped", std::vector<std::uint64_t>{}),
                std::chrono::milliseconds{event.value("age_ms", std::int64_t{0})}});
        }
        return changes;
    }
    catch (const document::exception&) {
        return unreadable("list of cache events");
    }
}

} // namespace cyclamen::http
