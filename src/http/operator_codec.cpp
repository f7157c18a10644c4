#include "http/operator_codec.hpp"

#include <nlohmann/json.hpp>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::http {

namespace {

using document = nlohmann::json;

/// @return value of a query parameter, empty if absent
std::string query_field(const request& received, std::string_view field)
{
    const std::size_t start = received.path.find('?');
    if (start == std::string::npos) {
        return {};
    }
    const std::string query = received.path.substr(start + 1);
    for (std::string_view message : core::split(query, '&')) {
        if (core::consume_prefix(message, core::concat(field, "="))) {
            return std::string{message};
        }
    }
    return {};
}

absl::StatusOr<std::optional<core::revision>> revision_field(const request& received,
                                                             std::string_view field)
{
    const std::string text = query_field(received, field);
    if (text.empty()) {
        return std::optional<core::revision>{};
    }
    const auto number = core::parse_number<std::uint64_t>(text);
    if (!number.has_value()) {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat(field, " \"", text, "\" is not a revision"),
                                "give a revision number from the history");
    }
    return std::optional{core::revision{*number}};
}

absl::StatusOr<api::operator_request> decode_apply(core::caller_id caller, const request& received)
{
    const auto expected = revision_field(received, "expect");
    if (!expected.ok()) {
        return expected.status();
    }
    return api::operator_request{
        api::configuration_apply{caller, bearer_of(received), received.body, *expected,
                                 query_field(received, "dry_run") == "true"}};
}

absl::StatusOr<api::operator_request> decode_rollback(core::caller_id caller,
                                                      const request& received)
{
    const auto to = revision_field(received, "revision");
    if (!to.ok()) {
        return to.status();
    }
    if (!to->has_value()) {
        return core::make_error(core::error_kind::invalid_argument, "no revision to roll back to",
                                "add ?revision=NUMBER");
    }
    return api::operator_request{api::configuration_rollback{caller, bearer_of(received), **to}};
}

document to_document(const api::configuration_copy& copy)
{
    document body{{"revision", copy.revision.value()},
                  {"base", copy.base.value()},
                  {"author", copy.author},
                  {"accepted_ms", copy.accepted.time_since_epoch().count()}};
    if (!copy.declarations.empty()) {
        body["declarations"] = document::parse(copy.declarations, nullptr, false);
    }
    return body;
}

std::string_view name_of(api::member_state state)
{
    constexpr std::string_view names[] = {"starting", "serving", "draining", "suspect", "gone"};
    return names[static_cast<std::size_t>(state)];
}

document to_document(const api::instance_status& status)
{
    document body{{"name", status.instance.identity.name.str()},
                  {"failure_domain", status.instance.failure_domain.str()},
                  {"address", core::to_string(status.instance.callers)},
                  {"state", name_of(status.instance.state)},
                  {"revision", nullptr},
                  {"age_s", nullptr},
                  {"not_heard_for_s", core::to_seconds(status.unresponsive_for)}};
    if (status.configuration.has_value()) {
        body["revision"] = status.configuration->revision.value();
        if (status.configuration->age.has_value()) {
            body["age_s"] = core::to_seconds(*status.configuration->age);
        }
    }
    return body;
}

} // namespace

std::string bearer_of(const request& received)
{
    std::string_view value = received.find_header("authorization");
    return core::consume_prefix(value, "Bearer ") ? std::string{value} : std::string{};
}

absl::StatusOr<api::operator_request> decode_operator_request(core::caller_id caller,
                                                              const request& received)
{
    const std::string path = received.path.substr(0, received.path.find('?'));
    const std::string route = core::concat(received.method, " ", path);
    if (route == "POST /v1/configuration") {
        return decode_apply(caller, received);
    }
    if (route == "POST /v1/configuration/rollback") {
        return decode_rollback(caller, received);
    }
    if (route == "GET /v1/configuration") {
        return api::operator_request{api::configuration_get{caller, bearer_of(received)}};
    }
    if (route == "GET /v1/configuration/history") {
        return api::operator_request{api::configuration_history{caller, bearer_of(received)}};
    }
    if (route == "GET /v1/configuration/status") {
        return api::operator_request{api::configuration_status{caller, bearer_of(received)}};
    }
    return core::make_error(core::error_kind::not_found, core::concat("unknown path: ", route),
                            "see the operator's manual for the paths");
}

std::string encode_answer(const api::configuration_answer& answer)
{
    return answer.copy.has_value() ? to_document(*answer.copy).dump()
                                   : document{{"revision", 0}}.dump();
}

std::string encode_answer(const api::history_answer& answer)
{
    document revisions = document::array();
    for (const api::configuration_copy& message : answer.revisions) {
        revisions.push_back(to_document(message));
    }
    return document{{"revisions", revisions}}.dump();
}

std::string encode_answer(const api::status_answer& answer)
{
    document instances = document::array();
    for (const api::instance_status& message : answer.instances) {
        instances.push_back(to_document(message));
    }
    return document{{"newest", answer.newest.value()},
                    {"in_force_everywhere", answer.in_force_everywhere},
                    {"instances", instances}}
        .dump();
}

} // namespace cyclamen::http
