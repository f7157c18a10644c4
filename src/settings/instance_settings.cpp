#include "settings/instance_settings.hpp"

#include <fstream>
#include <sstream>

#include "core/error.hpp"
#include "core/text.hpp"
#include "json/schema.hpp"

namespace cyclamen::settings {

namespace {

using document = nlohmann::json;

constexpr std::string_view remedy = "correct the settings file and start again";
constexpr core::duration default_drain_limit = std::chrono::minutes{10};
constexpr std::size_t default_max_body_bytes = 4'000'000;

core::duration milliseconds_or(const document& body, const char* key, core::duration default_value)
{
    return body.contains(key) ? core::duration{std::chrono::milliseconds{body[key].get<int>()}}
                              : default_value;
}

generation::generation_settings decode_generation(const document& body)
{
    const generation::generation_settings defaults;
    return generation::generation_settings{
        milliseconds_or(body, "first_token_limit_ms", defaults.first_token_limit),
        milliseconds_or(body, "token_gap_limit_ms", defaults.token_gap_limit),
        milliseconds_or(body, "placement_limit_ms", defaults.placement_limit),
        body.value("most_attempts", defaults.max_attempts),
        milliseconds_or(body, "retention_ms", defaults.retention)};
}

table::table_service_settings decode_platform(const document& body,
                                              const std::optional<core::socket_address>& table)
{
    const table::table_service_settings defaults;
    return table::table_service_settings{
        table, milliseconds_or(body, "answer_limit_ms", defaults.answer_limit)};
}

table::table_client_settings decode_table_client(const document& body)
{
    const table::table_client_settings defaults;
    return table::table_client_settings{
        milliseconds_or(body, "flush_period_ms", defaults.flush_period), defaults.max_rows};
}

call::call_settings decode_call(const document& body)
{
    const call::call_settings defaults;
    return call::call_settings{milliseconds_or(body, "claim_limit_ms", defaults.claim_limit),
                               defaults.recheck_period, defaults.watch_period,
                               milliseconds_or(body, "answer_limit_ms", defaults.answer_limit),
                               milliseconds_or(body, "late_limit_ms", defaults.late_limit)};
}

/// @return the address of the table service, empty if the settings contain none
absl::StatusOr<std::optional<core::socket_address>> decode_table_address(const document& platform)
{
    if (!platform.contains("table") || !platform["table"].is_string()) {
        return std::optional<core::socket_address>{};
    }
    const auto address = core::parse_socket_address(platform["table"].get<std::string>());
    if (!address.ok()) {
        return address.status();
    }
    return std::optional<core::socket_address>{*address};
}

/// @return the object under that key; an empty object if the key is absent or isn't an object
document object_or_empty(const document& body, const char* key)
{
    const bool found = body.is_object() && body.contains(key) && body[key].is_object();
    return found ? body[key] : document::object();
}

std::vector<config::operator_account> decode_operators(const document& body)
{
    std::vector<config::operator_account> operators;
    for (const document& operator_body : body) {
        operators.push_back(config::operator_account{operator_body["name"],
                                                     operator_body["token_hash"],
                                                     operator_body.value("may_apply", false)});
    }
    return operators;
}

document base_schema()
{
    return document::parse(R"({
        "type": "object",
        "required": ["name", "failure_domain", "listen"],
        "additionalProperties": false,
        "properties": {
            "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$",
                     "description": "name of this instance, unique in the deployment"},
            "failure_domain": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$",
                               "description": "failure domain that this instance runs in"},
            "listen": {"type": "string",
                       "description": "address for callers and operators, ip:port"},
            "log_level": {"enum": ["debug", "info", "warning", "error"],
                          "description": "minimum level of logged events; default: info"},
            "most_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 268435456,
                                "description": "larger request bodies are rejected; default: 4000000"},
            "policy": {"enum": ["standard", "naive"],
                       "description": "naive is the baseline of benchmarks, not for production; default: standard"},
            "generation": {
                "type": "object",
                "additionalProperties": false,
                "description": "limits of generations",
                "properties": {
                    "first_token_limit_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
                        "description": "time limit for the first token of an attempt; default: 10000"},
                    "token_gap_limit_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
                        "description": "time limit between two tokens of an attempt; default: 1500"},
                    "placement_limit_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
                        "description": "time limit for finding a target; default: 10000"},
                    "most_attempts": {"type": "integer", "minimum": 1, "maximum": 100,
                        "description": "maximum number of attempts of one generation; default: 8"},
                    "retention_ms": {"type": "integer", "minimum": 0, "maximum": 86400000,
                        "description": "how long a finished answer is kept for retried requests; default: 60000"}
                }
            },
            "operators": {"type": "array",
                "description": "operators who may read or apply configurations; default: none",
                "items": {
                    "type": "object",
                    "required": ["name", "token_hash"],
                    "additionalProperties": false,
                    "properties": {
                        "name": {"type": "string", "minLength": 1},
                        "token_hash": {"type": "string", "pattern": "^[0-9a-f]{64}$",
                            "description": "SHA-256 of the bearer token, in hexadecimal"},
                        "may_apply": {"type": "boolean",
                            "description": "whether the operator may apply configurations or only read them; default: false"}
                    }
                }},
            "drain_limit_ms": {"type": "integer", "minimum": 0, "maximum": 86400000,
                "description": "time limit for running work after the order to stop, then it is aborted; default: 600000"},
            "platform": {
                "type": "object",
                "additionalProperties": false,
                "description": "access to the platform's services; without it no state is persistent",
                "properties": {
                    "table": {"type": "string",
                        "description": "address of the table service, ip:port"},
                    "answer_limit_ms": {"type": "integer", "minimum": 10, "maximum": 60000,
                        "description": "time limit for an answer of the table service; default: 800"},
                    "flush_period_ms": {"type": "integer", "minimum": 1, "maximum": 10000,
                        "description": "minimum time between two transactions of this instance; default: 100"}
                }
            },
            "call": {
                "type": "object",
                "additionalProperties": false,
                "description": "limits of calls to plain services",
                "properties": {
                    "claim_limit_ms": {"type": "integer", "minimum": 1, "maximum": 60000,
                        "description": "time limit for claiming a call; default: 2000"},
                    "answer_limit_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
                        "description": "time limit for the answer of a target; default: 10000"},
                    "late_limit_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
                        "description": "how long a late answer is still accepted after answer_limit_ms; default: 60000"}
                }
            },
            "declarations": {"type": "object",
                             "description": "initial declarations, in force until others are applied"}
        }
    })");
}

} // namespace

const nlohmann::json& instance_schema()
{
    static const document schema = [] {
        document with_peers = base_schema();
        with_peers["properties"]["peers"] = peers_schema();
        return with_peers;
    }();
    return schema;
}

absl::StatusOr<instance_settings> decode_instance_settings(const document& body,
                                                           std::string_view source)
{
    std::vector<json::validation_error> errors = json::validate(body, instance_schema());
    const std::string listen =
        body.is_object() && body.contains("listen") && body["listen"].is_string()
            ? body["listen"].get<std::string>()
            : std::string{};
    const auto address = core::parse_socket_address(listen);
    if (!address.ok()) {
        errors.push_back(
            json::validation_error{"/listen", std::string{address.status().message()}});
    }
    const document declared =
        body.is_object() ? body.value("declarations", document::object()) : document::object();
    const auto declarations = model::decode_configuration(declared, core::revision{0});
    if (!declarations.ok()) {
        errors.push_back(
            json::validation_error{"/declarations", std::string{declarations.status().message()}});
    }
    const document platform = object_or_empty(body, "platform");
    const auto table = decode_table_address(platform);
    if (!table.ok()) {
        errors.push_back(
            json::validation_error{"/platform/table", std::string{table.status().message()}});
    }
    const bool is_valid = errors.empty();
    const peers_section peers = decode_peers(
        is_valid ? body.value("peers", document::object()) : document::object(), errors);
    if (!errors.empty()) {
        return json::to_error(errors, source, remedy);
    }
    return instance_settings{core::instance_name{body["name"]},
                             core::failure_domain_name{body["failure_domain"]},
                             *address,
                             core::parse_log_level(body.value("log_level", "info")),
                             body.value("most_body_bytes", default_max_body_bytes),
                             body.value("policy", "standard") == "naive",
                             decode_generation(body.value("generation", document::object())),
                             *declarations,
                             decode_platform(platform, *table),
                             decode_table_client(platform),
                             peers,
                             milliseconds_or(body, "drain_limit_ms", default_drain_limit),
                             decode_operators(body.value("operators", document::array())),
                             decode_call(object_or_empty(body, "call"))};
}

absl::StatusOr<nlohmann::json> read_json_file(const std::string& path)
{
    std::ifstream input{path};
    if (!input) {
        return core::make_error(core::error_kind::not_found, core::concat("can't read ", path),
                                "specify a file that exists and is readable");
    }
    std::ostringstream text;
    text << input.rdbuf();
    return json::parse(text.str(), path);
}

} // namespace cyclamen::settings
