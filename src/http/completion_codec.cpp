#include "http/completion_codec.hpp"

#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "http/operator_codec.hpp"
#include "json/fields.hpp"
#include "json/schema.hpp"

namespace cyclamen::http {

namespace {

using document = nlohmann::json;

constexpr std::uint32_t default_max_tokens = 16;
constexpr core::duration default_timeout = std::chrono::minutes{10};
constexpr std::string_view remedy = "correct the request body";

const document& request_schema(completion_form form)
{
    static const document text = document::parse(R"({
        "type": "object",
        "required": ["model", "prompt"],
        "properties": {
            "model": {"type": "string", "minLength": 1},
            "prompt": {"type": "string"},
            "max_tokens": {"type": "integer", "minimum": 1, "maximum": 1000000},
            "stream": {"type": "boolean"},
            "timeout_s": {"type": "number", "minimum": 0.001, "maximum": 86400}
        }
    })");
    static const document chat = document::parse(R"({
        "type": "object",
        "required": ["model", "messages"],
        "properties": {
            "model": {"type": "string", "minLength": 1},
            "messages": {"type": "array", "minItems": 1, "items": {
                "type": "object",
                "required": ["role", "content"],
                "properties": {"role": {"type": "string"}, "content": {"type": "string"}}
            }},
            "max_tokens": {"type": "integer", "minimum": 1, "maximum": 1000000},
            "stream": {"type": "boolean"},
            "timeout_s": {"type": "number", "minimum": 0.001, "maximum": 86400}
        }
    })");
    return form == completion_form::text ? text : chat;
}

std::string prompt_of(const document& body, completion_form form)
{
    if (form == completion_form::text) {
        return body["prompt"].get<std::string>();
    }
    std::string prompt;
    for (const document& message : body["messages"]) {
        core::append(prompt, message["role"].get<std::string>(), ": ",
                     message["content"].get<std::string>(), "\n");
    }
    return prompt;
}

/// Separates the branch of an answer from the number of tokens in an event id.
constexpr char event_id_separator = ':';

document encode_usage(const usage& used)
{
    return {{"completion_tokens", used.completion_tokens}, {"attempts", used.attempts}};
}

document chunk_base(completion_form form, std::string_view model)
{
    return document{
        {"object", form == completion_form::text ? "text_completion" : "chat.completion.chunk"},
        {"model", model}};
}

} // namespace

absl::StatusOr<api::generation_request>
decode_generation_request(core::caller_id caller, const request& received, completion_form form)
{
    auto body = json::parse(received.body, "request body");
    if (!body.ok()) {
        return body.status();
    }
    const auto faults = json::validate(*body, request_schema(form));
    if (!faults.empty()) {
        return json::to_error(faults, "request body", remedy);
    }
    const std::string_view last_event_id = received.find_header("last-event-id");
    const std::size_t separator = last_event_id.rfind(event_id_separator);
    const std::string_view count =
        separator == std::string_view::npos ? last_event_id : last_event_id.substr(separator + 1);
    const auto tokens_held = core::parse_number<std::uint64_t>(last_event_id.empty() ? "0" : count);
    if (!tokens_held.has_value()) {
        return core::make_error(
            core::error_kind::invalid_argument,
            core::concat("Last-Event-ID \"", last_event_id, "\" has no token count"),
            "send the id of the last event received");
    }
    const core::duration timeout = body->contains("timeout_s")
                                       ? core::from_seconds((*body)["timeout_s"].get<double>())
                                       : default_timeout;
    return api::generation_request{
        caller,
        bearer_of(received),
        core::request_key{std::string{received.find_header("idempotency-key")}},
        core::service_name{(*body)["model"].get<std::string>()},
        prompt_of(*body, form),
        body->value("max_tokens", default_max_tokens),
        body->value("stream", false),
        *tokens_held,
        timeout,
        std::string{separator == std::string_view::npos ? std::string_view{}
                                                        : last_event_id.substr(0, separator)}};
}

std::string encode_event_id(const std::string& branch, std::uint64_t tokens_held)
{
    return branch.empty() ? core::concat(tokens_held)
                          : core::concat(branch, event_id_separator, tokens_held);
}

std::string encode_chunk(completion_form form, std::string_view model, std::string_view text)
{
    document body = chunk_base(form, model);
    document choice{{"index", 0}, {"finish_reason", nullptr}};
    if (form == completion_form::text) {
        choice["text"] = text;
    }
    else {
        choice["delta"] = {{"content", text}};
    }
    body["choices"] = document::array({choice});
    return body.dump();
}

std::uint64_t decode_attempts(std::string_view data)
{
    const document body = json::parse_or_null(data);
    return json::count_at(json::member_of(body, "usage"), "attempts").value_or(0);
}

std::string encode_final_chunk(completion_form form, std::string_view model, const usage& used)
{
    document body = chunk_base(form, model);
    document choice{{"index", 0}, {"finish_reason", "length"}};
    if (form == completion_form::text) {
        choice["text"] = "";
    }
    else {
        choice["delta"] = document::object();
    }
    body["choices"] = document::array({choice});
    body["usage"] = encode_usage(used);
    return body.dump();
}

std::string encode_completion(completion_form form, std::string_view model, std::string_view text,
                              const usage& used)
{
    document choice{{"index", 0}, {"finish_reason", "length"}};
    if (form == completion_form::text) {
        choice["text"] = text;
    }
    else {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    return document{
        {"object", form == completion_form::text ? "text_completion" : "chat.completion"},
        {"model", model},
        {"choices", document::array({choice})},
        {"usage", encode_usage(used)}}
        .dump();
}

std::string encode_error(const core::failure& reason)
{
    // The message may quote bytes of the request.
    return json::to_text({{"error",
                           {{"message", reason.message},
                            {"type", core::to_string(reason.kind)},
                            {"code", core::to_string(reason.kind)},
                            {"param", nullptr}}},
                          {"not_run", reason.not_run}});
}

int http_status_of(core::error_kind kind)
{
    switch (kind) {
    case core::error_kind::invalid_argument:
        return 400;
    case core::error_kind::unauthenticated:
        return 401;
    case core::error_kind::permission_denied:
        return 403;
    case core::error_kind::not_found:
        return 404;
    case core::error_kind::conflict:
    case core::error_kind::superseded:
        return 409;
    case core::error_kind::too_large:
        return 413;
    case core::error_kind::unprocessable:
    case core::error_kind::quarantined:
        return 422;
    case core::error_kind::overloaded:
        return 429;
    case core::error_kind::outcome_unknown:
        return 502;
    case core::error_kind::unavailable:
        return 503;
    case core::error_kind::deadline_exceeded:
        return 504;
    case core::error_kind::cancelled:
    case core::error_kind::internal:
        break;
    }
    return 500;
}

request encode_attempt(const api::open_attempt& attempt)
{
    const document body{{"model", attempt.service.str()},
                        {"prompt", attempt.prompt},
                        {"max_tokens", attempt.max_tokens},
                        {"priority", attempt.priority},
                        {"stream", true}};
    return request{"POST", "/v1/completions", {{"content-type", "application/json"}}, body.dump()};
}

absl::StatusOr<std::string> decode_chunk(std::string_view data)
{
    const document body = json::parse_or_null(data);
    const document& choices = json::member_of(body, "choices");
    if (choices.is_array() && !choices.empty() && choices[0].is_object()) {
        const document& text = json::member_of(choices[0], "text");
        if (text.is_null() || text.is_string()) {
            return json::text_at(choices[0], "text");
        }
    }
    return core::make_error(core::error_kind::invalid_argument, "event is not a completion chunk",
                            "check that the target speaks the completions protocol");
}

} // namespace cyclamen::http
