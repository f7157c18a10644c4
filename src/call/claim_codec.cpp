#include "call/claim_codec.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "core/error.hpp"
#include "core/text.hpp"
#include "model/client_account.hpp"

namespace cyclamen::call {

namespace {

using document = nlohmann::json;

constexpr const char* table_name = "calls";

NLOHMANN_JSON_SERIALIZE_ENUM(claim_state, {{claim_state::unknown, "unknown"},
                                           {claim_state::claimed, "claimed"},
                                           {claim_state::released, "released"},
                                           {claim_state::answered, "answered"}})

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

document encode_response(const api::service_response& response)
{
    document headers = document::array();
    for (const api::header_field& each : response.headers) {
        headers.push_back(
            {absl::Base64Escape(to_absl(each.name)), absl::Base64Escape(to_absl(each.value))});
    }
    return {{"status", response.status},
            {"headers", std::move(headers)},
            {"body", absl::Base64Escape(to_absl(response.body))}};
}

std::string from_base64(const document& text)
{
    std::string bytes;
    if (!absl::Base64Unescape(to_absl(text.get_ref<const std::string&>()), &bytes)) {
        throw document::other_error::create(0, "invalid base64", nullptr);
    }
    return bytes;
}

api::service_response decode_response(const document& body)
{
    std::vector<api::header_field> headers;
    for (const document& each : body.at("headers")) {
        headers.push_back(api::header_field{from_base64(each.at(0)), from_base64(each.at(1))});
    }
    return api::service_response{body.at("status").get<int>(), std::move(headers),
                                 from_base64(body.at("body"))};
}

} // namespace

api::row_key row_key_of(const claim_key& key)
{
    return api::row_key{table_name,
                        core::concat(key.account.str(), "/", model::hash_key(key.key.str()))};
}

std::string encode_claim(const claim_record& record)
{
    document body{
        {"state", record.state}, {"nonce", record.nonce}, {"body_hash", record.body_hash}};
    if (record.response.has_value()) {
        body["response"] = encode_response(*record.response);
    }
    return body.dump();
}

absl::StatusOr<claim_record> decode_claim(std::string_view value)
{
    try {
        const document body = document::parse(value);
        std::optional<api::service_response> response;
        if (body.contains("response")) {
            response.emplace(decode_response(body.at("response")));
        }
        return claim_record{body.at("state").get<claim_state>(),
                            body.at("nonce").get<std::string>(),
                            body.at("body_hash").get<std::string>(), std::move(response)};
    }
    catch (const document::exception& problem) {
        return core::make_error(core::error_kind::invalid_argument, problem.what(),
                                "inspect the row in the table `calls`");
    }
}

} // namespace cyclamen::call
