#include "http/service_codec.hpp"

#include <cctype>
#include <set>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::http {

namespace {

std::string to_lower(std::string_view text)
{
    std::string lower{text};
    for (char& c : lower) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return lower;
}

/// @return names of the headers that apply to one connection only (hop-by-hop)
std::set<std::string> hop_by_hop_names(const std::vector<header>& headers)
{
    std::set<std::string> names{"connection",
                                "keep-alive",
                                "proxy-authenticate",
                                "proxy-authorization",
                                "te",
                                "trailer",
                                "transfer-encoding",
                                "upgrade",
                                "content-length",
                                "host",
                                "date",
                                "server"};
    for (const std::string_view option : core::split(find_header(headers, "connection"), ',')) {
        names.insert(to_lower(core::trim(option)));
    }
    return names;
}

std::vector<api::header_field> without(const std::vector<header>& headers,
                                       const std::set<std::string>& names)
{
    std::vector<api::header_field> kept;
    for (const header& field : headers) {
        std::string name = to_lower(field.name);
        if (!names.contains(name)) {
            kept.push_back(api::header_field{std::move(name), field.value});
        }
    }
    return kept;
}

} // namespace

std::vector<api::header_field> end_to_end_headers(const std::vector<header>& headers)
{
    return without(headers, hop_by_hop_names(headers));
}

absl::StatusOr<api::call_request> decode_call_request(core::caller_id caller,
                                                      const request& received)
{
    std::string_view rest = received.path;
    core::consume_prefix(rest, services_prefix);
    const std::size_t name_end = std::min(rest.find_first_of("/?"), rest.size());
    if (name_end == 0) {
        return core::make_error(core::error_kind::invalid_argument, "the path names no service",
                                "send to /services/NAME/path");
    }
    const std::string name{rest.substr(0, name_end)};
    rest.remove_prefix(name_end);
    const std::string path = rest.starts_with('/') ? std::string{rest} : core::concat("/", rest);
    std::string_view bearer = received.find_header("authorization");
    core::consume_prefix(bearer, "Bearer ");
    std::set<std::string> dropped = hop_by_hop_names(received.headers);
    dropped.insert("authorization");
    return api::call_request{
        caller,
        std::string{bearer},
        core::request_key{std::string{received.find_header("idempotency-key")}},
        received.find_header("idempotency-repeat") == "true",
        core::service_name{name},
        received.method,
        path,
        without(received.headers, dropped),
        received.body};
}

request encode_call(const api::open_call& call)
{
    std::vector<header> headers;
    headers.reserve(call.headers.size());
    for (const api::header_field& field : call.headers) {
        headers.push_back(header{field.name, field.value});
    }
    return request{call.method, call.path, std::move(headers), call.body};
}

response_head to_head(const api::service_response& response)
{
    std::vector<header> headers;
    headers.reserve(response.headers.size());
    for (const api::header_field& field : response.headers) {
        headers.push_back(header{field.name, field.value});
    }
    return response_head{response.status, std::move(headers)};
}

} // namespace cyclamen::http
