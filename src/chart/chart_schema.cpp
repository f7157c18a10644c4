#include "chart/chart_schema.hpp"

namespace cyclamen::chart {

const nlohmann::json& chart_schema()
{
    static const nlohmann::json schema = nlohmann::json::parse(R"({
        "type": "object",
        "required": ["name", "initial", "states"],
        "additionalProperties": false,
        "properties": {
            "name": {"type": "string", "minLength": 1},
            "description": {"type": "string"},
            "initial": {"type": "string"},
            "states": {
                "type": "object",
                "minProperties": 1,
                "additionalProperties": {
                    "type": "object",
                    "additionalProperties": false,
                    "properties": {
                        "description": {"type": "string"},
                        "parent": {"type": "string"},
                        "final": {"type": "boolean"},
                        "entry": {"type": "array", "items": {"type": "string"}},
                        "exit": {"type": "array", "items": {"type": "string"}},
                        "timeouts": {"type": "object", "additionalProperties": {"type": "string"}},
                        "on": {
                            "type": "object",
                            "additionalProperties": {
                                "type": "array",
                                "minItems": 1,
                                "items": {
                                    "type": "object",
                                    "additionalProperties": false,
                                    "properties": {
                                        "guard": {"type": "string"},
                                        "target": {"type": "string"},
                                        "actions": {"type": "array", "items": {"type": "string"}}
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
    })");
    return schema;
}

} // namespace cyclamen::chart
