#include "settings/stand_in_settings_file.hpp"

#include "core/error.hpp"
#include "json/schema.hpp"

namespace cyclamen::settings {

namespace {

using document = nlohmann::json;

constexpr std::string_view remedy = "correct the settings of the stand-in";

const document& platform_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["listen"],
        "additionalProperties": false,
        "properties": {
            "listen": {"type": "string"},
            "latency_ms": {"type": "integer", "minimum": 0},
            "load_time_ms": {"type": "integer", "minimum": 0},
            "list_lag_ms": {"type": "integer", "minimum": 0},
            "list_lapse_ms": {"type": "integer", "minimum": 1}
        }
    })");
    return schema;
}

const document& service_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["listen"],
        "additionalProperties": false,
        "properties": {
            "listen": {"type": "string"},
            "latency_ms": {"type": "integer", "minimum": 0}
        }
    })");
    return schema;
}

core::duration milliseconds_or(const document& body, const char* key, core::duration default_value)
{
    return body.contains(key) ? core::duration{std::chrono::milliseconds{body[key].get<int>()}}
                              : default_value;
}

/// Validates a document against its schema.
/// @return its listen address, or invalid_argument that lists all errors
absl::StatusOr<core::socket_address> check(const document& body, const document& schema,
                                           std::string_view source)
{
    const std::vector<json::validation_error> errors = json::validate(body, schema);
    if (!errors.empty()) {
        return json::to_error(errors, source, remedy);
    }
    return core::parse_socket_address(body["listen"].get<std::string>());
}

} // namespace

absl::StatusOr<standin::platform_settings> decode_platform_stand_in(const document& body,
                                                                    std::string_view source)
{
    const auto listen = check(body, platform_schema(), source);
    if (!listen.ok()) {
        return listen.status();
    }
    const standin::platform_settings defaults{*listen};
    return standin::platform_settings{*listen,
                                      milliseconds_or(body, "latency_ms", defaults.latency),
                                      milliseconds_or(body, "load_time_ms", defaults.load_time),
                                      milliseconds_or(body, "list_lag_ms", defaults.list_lag),
                                      milliseconds_or(body, "list_lapse_ms", defaults.list_lapse)};
}

absl::StatusOr<standin::service_settings> decode_service_stand_in(const document& body,
                                                                  std::string_view source)
{
    const auto listen = check(body, service_schema(), source);
    if (!listen.ok()) {
        return listen.status();
    }
    const standin::service_settings defaults{*listen};
    return standin::service_settings{*listen,
                                     milliseconds_or(body, "latency_ms", defaults.latency)};
}

} // namespace cyclamen::settings
