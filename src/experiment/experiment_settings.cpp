#include "experiment/experiment_settings.hpp"

#include "json/schema.hpp"

namespace cyclamen::experiment {

namespace {

using document = nlohmann::json;

const document& experiment_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["name", "deployment", "failure_domains", "instances", "engines", "load"],
        "additionalProperties": false,
        "properties": {
            "name": {"type": "string"},
            "deployment": {"type": "string"},
            "failure_domains": {"type": "array", "minItems": 1, "items": {"type": "string"}},
            "instances": {"type": "integer", "minimum": 1, "maximum": 40},
            "engines": {"type": "integer", "minimum": 1, "maximum": 100},
            "token_gap_ms": {"type": "number", "minimum": 0.1},
            "gap_per_stream_ms": {"type": "number", "minimum": 0},
            "link_delay_ms": {"type": "number", "minimum": 0},
            "load": {"type": "object"},
            "bounds": {"type": "object", "additionalProperties": {"type": "number"}},
            "faults": {"type": "array", "items": {
                "type": "object",
                "required": ["at_s", "place", "index", "kind"],
                "additionalProperties": false,
                "properties": {
                    "at_s": {"type": "number", "minimum": 0},
                    "place": {"enum": ["engine", "instance"]},
                    "index": {"type": "integer", "minimum": 0},
                    "kind": {"enum": ["killed", "paused", "silent", "slow", "failing"]},
                    "factor": {"type": "number", "minimum": 1},
                    "lasts_s": {"type": "number", "minimum": 0}
                }
            }}
        }
    })");
    return schema;
}

core::duration decode_milliseconds(const document& body, const char* key, double default_value)
{
    constexpr double milliseconds_per_second = 1000.0;
    return core::from_seconds(body.value(key, default_value) / milliseconds_per_second);
}

std::vector<planned_fault> decode_faults(const document& list)
{
    std::vector<planned_fault> faults;
    for (const document& body : list) {
        faults.push_back(planned_fault{
            core::from_seconds(body["at_s"].get<double>()),
            body["place"] == "engine" ? fault_place::engine : fault_place::instance, body["index"],
            *standin::parse_fault_kind(body["kind"].get<std::string>()), body.value("factor", 1.0),
            core::from_seconds(body.value("lasts_s", 0.0))});
    }
    return faults;
}

std::vector<std::pair<std::string, double>> decode_bounds(const document& body)
{
    std::vector<std::pair<std::string, double>> bounds;
    for (const auto& [measure, bound] : body.items()) {
        bounds.emplace_back(measure, bound.get<double>());
    }
    return bounds;
}

} // namespace

absl::StatusOr<experiment_settings> decode_experiment(const nlohmann::json& body,
                                                      std::string_view source)
{
    constexpr std::string_view remedy = "correct the experiment file";
    const auto errors = json::validate(body, experiment_schema());
    if (!errors.empty()) {
        return json::to_error(errors, source, remedy);
    }
    const auto load_errors = json::validate(body["load"], load::load_schema());
    if (!load_errors.empty()) {
        return json::to_error(load_errors, core::concat(source, "/load"), remedy);
    }
    return experiment_settings{body["name"],
                               body["deployment"],
                               body["failure_domains"].get<std::vector<std::string>>(),
                               body["instances"],
                               body["engines"],
                               decode_milliseconds(body, "token_gap_ms", 10),
                               decode_milliseconds(body, "gap_per_stream_ms", 0.1),
                               decode_milliseconds(body, "link_delay_ms", 0),
                               load::decode_load_settings(body["load"]),
                               decode_faults(body.value("faults", document::array())),
                               decode_bounds(body.value("bounds", document::object()))};
}

} // namespace cyclamen::experiment
