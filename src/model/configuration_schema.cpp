#include "model/configuration_schema.hpp"

namespace cyclamen::model {

const nlohmann::json& configuration_schema()
{
    static const nlohmann::json schema = nlohmann::json::parse(R"({
        "type": "object",
        "additionalProperties": false,
        "definitions": {
            "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$"},
            "labels": {"type": "object", "additionalProperties": {"type": "string"}}
        },
        "properties": {
            "services": {"type": "array", "items": {
                "type": "object",
                "required": ["name", "kind"],
                "additionalProperties": false,
                "properties": {
                    "name": {"$ref": "#/definitions/name"},
                    "kind": {"enum": ["generation", "plain"]},
                    "version": {"$ref": "#/definitions/name"}
                }
            }},
            "targets": {"type": "array", "items": {
                "type": "object",
                "required": ["name", "service", "address", "failure_domain"],
                "additionalProperties": false,
                "properties": {
                    "name": {"$ref": "#/definitions/name"},
                    "service": {"$ref": "#/definitions/name"},
                    "version": {"$ref": "#/definitions/name"},
                    "address": {"type": "string"},
                    "failure_domain": {"$ref": "#/definitions/name"},
                    "labels": {"$ref": "#/definitions/labels"},
                    "checks_fencing": {"type": "boolean"}
                }
            }},
            "accounts": {"type": "array", "items": {
                "type": "object",
                "required": ["name", "key_hash"],
                "additionalProperties": false,
                "properties": {
                    "name": {"$ref": "#/definitions/name"},
                    "key_hash": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
                    "labels": {"$ref": "#/definitions/labels"},
                    "share": {"type": "integer", "minimum": 1, "maximum": 10000},
                    "priority": {"type": "integer", "minimum": 0, "maximum": 9}
                }
            }},
            "rollouts": {"type": "array", "items": {
                "type": "object",
                "required": ["name", "service", "from", "to", "deadline"],
                "additionalProperties": false,
                "properties": {
                    "name": {"$ref": "#/definitions/name"},
                    "service": {"$ref": "#/definitions/name"},
                    "from": {"$ref": "#/definitions/name"},
                    "to": {"$ref": "#/definitions/name"},
                    "targets": {"type": "string"},
                    "traffic": {"type": "string"},
                    "deadline": {"type": "string"},
                    "watch_seconds": {"type": "integer", "minimum": 1, "maximum": 604800},
                    "exposure_permille": {"type": "integer", "minimum": 1, "maximum": 500},
                    "attempt": {"type": "integer", "minimum": 1, "maximum": 1000000},
                    "weights_bytes": {"type": "integer", "minimum": 0}
                }
            }}
        }
    })");
    return schema;
}

} // namespace cyclamen::model
