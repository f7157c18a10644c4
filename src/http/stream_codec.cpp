#include "http/stream_codec.hpp"

#include "core/text.hpp"

namespace cyclamen::http {

namespace {

constexpr std::string_view path_prefix = "/v1/streams/";
constexpr std::string_view after_prefix = "after=";

} // namespace

request with_stream_name(const request& sent, const std::string& stream)
{
    std::vector<header> headers = sent.headers;
    headers.push_back(header{std::string{stream_name_header}, stream});
    return request{sent.method, sent.path, std::move(headers), sent.body};
}

request encode_stream_resume(const std::string& stream, std::uint64_t after)
{
    return request{"GET", core::concat(path_prefix, stream, "?", after_prefix, after), {}, ""};
}

request encode_stream_cancel(const std::string& stream)
{
    return request{"DELETE", core::concat(path_prefix, stream), {}, ""};
}

std::optional<stream_query> decode_stream_query(std::string_view path)
{
    if (!core::consume_prefix(path, path_prefix)) {
        return std::nullopt;
    }
    const std::size_t query_start = path.find('?');
    const std::string_view stream = path.substr(0, query_start);
    std::string_view query =
        query_start == std::string_view::npos ? std::string_view{} : path.substr(query_start + 1);
    std::uint64_t after = 0;
    if (core::consume_prefix(query, after_prefix)) {
        const auto number = core::parse_number<std::uint64_t>(query);
        if (!number.has_value()) {
            return std::nullopt;
        }
        after = *number;
    }
    return stream.empty() ? std::nullopt : std::optional{stream_query{std::string{stream}, after}};
}

} // namespace cyclamen::http
