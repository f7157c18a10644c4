#include "soak/soak_documents.hpp"

#include <string_view>

#include <nlohmann/json.hpp>

#include "core/text.hpp"

namespace cyclamen::soak {

namespace {

using document = nlohmann::json;

document route(const std::string& prefix, const char* kind, const char* service, int attempts)
{
    const bool streams = std::string_view{kind} == "streaming";
    return document{{"name", core::concat("route", prefix)},
                    {"host", "soak.example"},
                    {"prefix", prefix},
                    {"kind", kind},
                    {"timeout_ms", streams ? 6000 : 1500},
                    {"goal_ms", streams ? 1500 : 300},
                    {"priority", 1},
                    {"backend", service},
                    {"attempts", attempts},
                    {"public", false},
                    {"resumable", streams},
                    {"gap_target_ms", streams ? 700 : 0}};
}

} // namespace

std::string configuration_text(std::uint64_t revision)
{
    document routes{route("/s/", "streaming", engine_service, 5),
                    route("/u/", "unsafe", plain_service, 1),
                    route("/r/", "safe", plain_service, 2)};
    for (std::uint64_t added = 1; added <= revision; ++added) {
        routes.push_back(route(core::concat("/since-", added, "/"), "safe", plain_service, 2));
    }
    return document{{"version", revision},
                    {"routes", routes},
                    {"backends",
                     {{{"name", engine_service},
                       {"health_path", "/healthz"},
                       {"engine",
                        {{"slots", 64},
                         {"kv_capacity_tokens", 1000000},
                         {"backups", true},
                         {"moves", false},
                         {"models", {{{"name", "m"}}}}}}},
                      {{"name", plain_service}, {"health_path", "/healthz"}}}},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 1000000},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}},
                    {"tenants", {{{"name", "soaker"}, {"api_keys", {"soak-key"}}}}}}
        .dump();
}

std::string settings_text(const std::string& name, const std::string& domain,
                          const instance_addresses& at, const core::socket_address& store,
                          const std::vector<std::string>& seeds)
{
    return document{{"name", name},
                    {"failure_domain", domain},
                    {"cores", 1},
                    {"seeds", seeds},
                    {"listen",
                     {{"entry", core::to_string(at.entry)},
                      {"ready", core::to_string(at.ready)},
                      {"directory", core::to_string(at.directory)},
                      {"metrics", core::to_string(at.metrics)},
                      {"feed", core::to_string(at.feed)}}},
                    {"store", {{"address", core::to_string(store)}}},
                    {"retries", {{"ratio", 0.8}, {"slack", 300}, {"window_s", 10}}},
                    {"limits",
                     {{"leave_s", core::to_seconds(shutdown_limit)},
                      {"target_drain_ms", 2000},
                      {"configuration_ms", 2000},
                      {"directory_keep_s", 3}}}}
        .dump(2);
}

} // namespace cyclamen::soak
