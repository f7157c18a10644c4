#include "load/load_settings.hpp"

namespace cyclamen::load {

namespace {

using document = nlohmann::json;

length_range decode_range(const document& body, const char* key, length_range default_range)
{
    return body.contains(key) ? length_range{body[key][0], body[key][1]} : default_range;
}

std::vector<load_account> decode_accounts(const document& list)
{
    std::vector<load_account> accounts;
    for (const document& body : list) {
        accounts.push_back(load_account{body["key"], body.value("weight", 1.0)});
    }
    return accounts;
}

} // namespace

const nlohmann::json& load_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["model", "accounts", "rate", "length_s"],
        "additionalProperties": false,
        "definitions": {
            "share": {"type": "number", "minimum": 0, "maximum": 1},
            "range": {"type": "array", "minItems": 2, "maxItems": 2,
                      "items": {"type": "integer", "minimum": 1, "maximum": 1000000}}
        },
        "properties": {
            "seed": {"type": "integer", "minimum": 0},
            "rate": {"type": "number", "minimum": 0.001, "maximum": 10000},
            "length_s": {"type": "number", "minimum": 0.01, "maximum": 3600},
            "most_requests": {"type": "integer", "minimum": 1, "maximum": 1000000},
            "model": {"type": "string", "minLength": 1},
            "accounts": {"type": "array", "minItems": 1, "items": {
                "type": "object", "required": ["key"], "additionalProperties": false,
                "properties": {"key": {"type": "string"}, "weight": {"type": "number", "minimum": 0}}
            }},
            "short_answer": {"$ref": "#/definitions/range"},
            "long_answer": {"$ref": "#/definitions/range"},
            "long_share": {"$ref": "#/definitions/share"},
            "whole_share": {"$ref": "#/definitions/share"},
            "keyed_share": {"$ref": "#/definitions/share"},
            "prefixes": {"type": "integer", "minimum": 1, "maximum": 100000},
            "prefix_words": {"type": "integer", "minimum": 1, "maximum": 100000},
            "instances": {"type": "array", "minItems": 1, "items": {"type": "string"}},
            "version": {"type": "string"}
        }
    })");
    return schema;
}

load_settings decode_load_settings(const nlohmann::json& body)
{
    return load_settings{body.value("seed", std::uint64_t{1}),
                         body["rate"],
                         core::from_seconds(body["length_s"].get<double>()),
                         body.value("most_requests", std::uint64_t{100'000}),
                         body["model"],
                         decode_accounts(body["accounts"]),
                         decode_range(body, "short_answer", {20, 80}),
                         decode_range(body, "long_answer", {400, 800}),
                         body.value("long_share", 0.06),
                         body.value("whole_share", 0.3),
                         body.value("keyed_share", 0.5),
                         body.value("prefixes", 20U),
                         body.value("prefix_words", 40U)};
}

} // namespace cyclamen::load
