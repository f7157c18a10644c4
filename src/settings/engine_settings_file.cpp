#include "settings/engine_settings_file.hpp"

#include "core/error.hpp"
#include "json/schema.hpp"

namespace cyclamen::settings {

namespace {

using document = nlohmann::json;

const document& engine_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["listen", "version"],
        "additionalProperties": false,
        "properties": {
            "listen": {"type": "string"},
            "version": {"type": "string", "minLength": 1},
            "token_gap_ms": {"type": "number", "minimum": 0.001},
            "gap_per_stream_ms": {"type": "number", "minimum": 0},
            "prefill_per_word_ms": {"type": "number", "minimum": 0},
            "variant_seed": {"type": "integer", "minimum": 0}
        }
    })");
    return schema;
}

core::duration milliseconds_or(const document& body, const char* key, core::duration default_value)
{
    constexpr double milliseconds_per_second = 1000.0;
    return body.contains(key)
               ? core::from_seconds(body[key].get<double>() / milliseconds_per_second)
               : default_value;
}

} // namespace

absl::StatusOr<standin::engine_settings> decode_engine_settings(const document& body,
                                                                std::string_view source)
{
    std::vector<json::validation_error> errors = json::validate(body, engine_schema());
    if (!errors.empty()) {
        return json::to_error(errors, source, "correct the settings of the stand-in");
    }
    const auto address = core::parse_socket_address(body["listen"].get<std::string>());
    if (!address.ok()) {
        return address.status();
    }
    const standin::engine_settings defaults{*address, {}};
    return standin::engine_settings{
        *address,
        body["version"],
        milliseconds_or(body, "token_gap_ms", defaults.token_gap),
        milliseconds_or(body, "gap_per_stream_ms", defaults.gap_per_stream),
        milliseconds_or(body, "prefill_per_word_ms", defaults.prefill_per_word),
        body.value("variant_seed", defaults.variant_seed)};
}

} // namespace cyclamen::settings
