#include "settings/peer_settings_file.hpp"

#include "core/text.hpp"

namespace cyclamen::settings {

namespace {

using document = nlohmann::json;

std::optional<core::socket_address> decode_address(const std::string& text, std::string pointer,
                                                   std::vector<json::validation_error>& errors)
{
    const auto address = core::parse_socket_address(text);
    if (!address.ok()) {
        errors.push_back(
            json::validation_error{std::move(pointer), std::string{address.status().message()}});
        return std::nullopt;
    }
    return *address;
}

peer::curve_keys decode_keys(const document& body)
{
    const std::string own = body["public_key"];
    std::vector<std::string> allowed{own};
    for (const document& key : body.value("allowed", document::array())) {
        allowed.push_back(key.get<std::string>());
    }
    return peer::curve_keys{own, body["secret_key"], body.value("peers_key", own),
                            std::move(allowed)};
}

} // namespace

const nlohmann::json& peers_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["listen"],
        "additionalProperties": false,
        "description": "communication with other instances; without it the instance has no peers",
        "properties": {
            "listen": {"type": "string",
                       "description": "address for other instances, ip:port"},
            "seeds": {"type": "array", "items": {"type": "string"},
                      "description": "addresses of other instances to contact first, ip:port"},
            "keys": {
                "type": "object",
                "required": ["public_key", "secret_key"],
                "additionalProperties": false,
                "description": "CURVE keys in Z85; required unless the listen address is on loopback",
                "properties": {
                    "public_key": {"type": "string", "minLength": 40, "maxLength": 40},
                    "secret_key": {"type": "string", "minLength": 40, "maxLength": 40},
                    "peers_key": {"type": "string", "minLength": 40, "maxLength": 40,
                        "description": "public key of the other instances; default: public_key"},
                    "allowed": {"type": "array",
                        "items": {"type": "string", "minLength": 40, "maxLength": 40},
                        "description": "public keys that may connect, in addition to public_key"}
                }
            }
        }
    })");
    return schema;
}

peers_section decode_peers(const document& body, std::vector<json::validation_error>& errors)
{
    if (!body.contains("listen")) {
        return peers_section{std::nullopt, {}, std::nullopt};
    }
    const auto listen = decode_address(body["listen"], "/peers/listen", errors);
    std::vector<core::socket_address> seeds;
    for (const document& seed_address : body.value("seeds", document::array())) {
        const auto seed =
            decode_address(seed_address, core::concat("/peers/seeds/", seeds.size()), errors);
        if (seed.has_value()) {
            seeds.push_back(*seed);
        }
    }
    std::optional<peer::curve_keys> keys;
    if (body.contains("keys")) {
        keys.emplace(decode_keys(body["keys"]));
    }
    else if (listen.has_value() && !listen->ip.starts_with("127.")) {
        errors.push_back(json::validation_error{
            "/peers/keys", "keys are required unless the listen address is on loopback"});
    }
    return peers_section{listen, std::move(seeds), std::move(keys)};
}

} // namespace cyclamen::settings
