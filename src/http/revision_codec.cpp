#include "http/revision_codec.hpp"

#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "json/schema.hpp"

namespace cyclamen::http {

namespace {

using document = nlohmann::json;

constexpr std::string_view remedy = "check the row in the table service";

const document& row_schema()
{
    static const document schema = document::parse(R"({
        "type": "object",
        "required": ["revision", "base", "author", "nonce", "accepted_ms"],
        "properties": {
            "revision": {"type": "integer", "minimum": 0},
            "base": {"type": "integer", "minimum": 0},
            "author": {"type": "string"},
            "nonce": {"type": "string"},
            "accepted_ms": {"type": "integer"},
            "era": {"type": "integer", "minimum": 0},
            "declarations": {"type": "object"}
        }
    })");
    return schema;
}

} // namespace

std::string json_revision_codec::encode(const api::configuration_copy& copy) const
{
    document body{{"revision", copy.revision.value()},
                  {"base", copy.base.value()},
                  {"author", copy.author},
                  {"nonce", copy.nonce},
                  {"accepted_ms", copy.accepted.time_since_epoch().count()}};
    if (copy.era != api::table_era{}) {
        body["era"] = copy.era.value();
    }
    if (!copy.declarations.empty()) {
        body["declarations"] = document::parse(copy.declarations, nullptr, false);
    }
    return body.dump();
}

absl::StatusOr<api::configuration_copy> json_revision_codec::decode(const std::string& value) const
{
    const auto body = json::parse(value, "configuration row");
    if (!body.ok()) {
        return body.status();
    }
    const auto faults = json::validate(*body, row_schema());
    if (!faults.empty()) {
        return json::to_error(faults, "configuration row", remedy);
    }
    return api::configuration_copy{
        core::revision{(*body)["revision"].get<std::uint64_t>()},
        core::revision{(*body)["base"].get<std::uint64_t>()},
        (*body)["author"],
        (*body)["nonce"],
        core::wall_time{std::chrono::milliseconds{(*body)["accepted_ms"].get<std::int64_t>()}},
        body->contains("declarations") ? (*body)["declarations"].dump() : std::string{},
        api::table_era{body->value("era", std::uint64_t{0})}};
}

absl::StatusOr<model::configuration_ptr>
json_revision_codec::read_declarations(const api::configuration_copy& copy) const
{
    const auto body = json::parse(copy.declarations, "declarations");
    if (!body.ok()) {
        return body.status();
    }
    return model::decode_configuration(*body, copy.revision);
}

} // namespace cyclamen::http
