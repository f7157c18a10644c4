#include "http/message_reader.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <vector>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::http {

namespace beast = boost::beast;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_not_implemented = 501;
constexpr int first_status = 100;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

/// HTTP/1.1, as ten times the major plus the minor version.
constexpr int first_chunked_version = 11;

/// Maximum size of the start line and headers of a response, in bytes.
constexpr std::uint32_t max_response_head_bytes = 64 * 1024;

/// Maximum size of a chunk header, or of the trailers, of a response. Beast's parser waits for
/// their end without a limit.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;

/// Least number of bytes of a field beside its name and its value.
constexpr std::size_t field_frame_bytes = std::string_view{":\r\n"}.size();

/// Maximum number of interim (1xx) responses before the final one.
constexpr int max_interim_responses = 16;

std::string to_lower(beast::string_view text)
{
    std::string lowered{text.data(), text.size()};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @return the transfer codings of a message in the order in which they were applied, in lower case
std::vector<std::string> transfer_codings(const std::vector<header>& headers)
{
    std::vector<std::string> codings;
    for (const header& field : headers) {
        if (field.name != "transfer-encoding") {
            continue;
        }
        for (const absl::string_view each : absl::StrSplit(field.value, ',')) {
            codings.push_back(absl::AsciiStrToLower(absl::StripAsciiWhitespace(each)));
        }
    }
    return codings;
}

/// @return true if a server may send the status to a client that asks for no other protocol. All
///         digits are syntax, but values out of range have no meaning (RFC 9110, section 15).
bool is_valid_status(int status)
{
    return status >= first_status && status <= last_status && status != status_switching_protocols;
}

/// @return 0 if the end of a request's body is known from its transfer codings, otherwise the HTTP
///         status to reject it with
int coding_error(const std::vector<header>& headers, int version)
{
    const std::vector<std::string> codings = transfer_codings(headers);
    if (codings.empty()) {
        return 0;
    }
    const auto is_chunked = [](const std::string& coding) { return coding == "chunked"; };
    const bool ends_with_chunks = is_chunked(codings.back()) &&
                                  std::count_if(codings.begin(), codings.end(), is_chunked) == 1;
    if (!ends_with_chunks || version < first_chunked_version) {
        return status_bad_request;
    }
    return codings.size() == 1 ? 0 : status_not_implemented;
}

/// @return 0 if a request may have this head, otherwise the HTTP status to reject it with
int check_head(const std::vector<header>& headers, int version)
{
    if (const int status = coding_error(headers, version); status != 0) {
        return status;
    }
    // With two host headers, two parsers of the same request could disagree about its route.
    const auto hosts = std::count_if(headers.begin(), headers.end(),
                                     [](const header& field) { return field.name == "host"; });
    return hosts > 1 ? status_bad_request : 0;
}

} // namespace

namespace detail {

/// Collects the parts of a message that Beast's parser reports.
template <bool IsRequest>
class collecting_parser : public beast::http::basic_parser<IsRequest> {
  public:
    std::size_t feed(std::string_view bytes)
    {
        if (error || this->is_done()) {
            return 0;
        }
        const std::size_t used = this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (error == beast::http::error::need_more) {
            error = {};
        }
        if (!error && !this->is_done() && bytes.size() - used > max_unparsed) {
            error = beast::http::error::header_limit;
        }
        return used;
    }

    std::string method;
    std::string path;
    int status = 0;
    std::vector<header> headers;
    std::string body;
    bool has_head = false;
    int version = 0;
    beast::error_code error;
    /// Maximum size of a chunk header, or of the trailers.
    std::size_t max_unparsed = max_unparsed_bytes;

  private:
    std::size_t trailer_bytes_ = 0;

    void on_request_impl(beast::http::verb /*verb*/, beast::string_view name,
                         beast::string_view target, int minor_version,
                         beast::error_code& /*failure*/) override
    {
        method = view(name);
        path = view(target);
        version = minor_version;
    }
    void on_response_impl(int code, beast::string_view /*reason*/, int minor_version,
                          beast::error_code& failure) override
    {
        status = code;
        version = minor_version;
        if (!is_valid_status(code)) {
            failure = beast::http::error::bad_status;
        }
    }
    void on_field_impl(beast::http::field /*known*/, beast::string_view name,
                       beast::string_view value, beast::error_code& failure) override
    {
        if (has_head) {
            // A trailer is dropped (RFC 9110, section 6.5.1): taken for a field of the head, it
            // could change where a request goes or how a message is understood.
            trailer_bytes_ += name.size() + value.size() + field_frame_bytes;
            if (trailer_bytes_ > max_unparsed) {
                failure = beast::http::error::header_limit;
            }
            return;
        }
        headers.push_back(header{to_lower(name), std::string{view(value)}});
    }
    void on_header_impl(beast::error_code& /*failure*/) override { has_head = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           beast::error_code& /*failure*/) override
    {
    }
    std::size_t on_body_impl(beast::string_view part, beast::error_code& /*failure*/) override
    {
        body.append(part.data(), part.size());
        return part.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast::error_code& /*failure*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view part,
                                   beast::error_code& /*failure*/) override
    {
        body.append(part.data(), part.size());
        return part.size();
    }
    void on_finish_impl(beast::error_code& /*failure*/) override {}
};

} // namespace detail

class request_reader::parser : public detail::collecting_parser<true> {};

class response_reader::parser : public detail::collecting_parser<false> {};

request_reader::request_reader(const message_limits& limits) : parser_{std::make_unique<parser>()}
{
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    parser_->max_unparsed = limits.max_header_bytes;
}

request_reader::~request_reader() = default;

std::size_t request_reader::feed(std::string_view bytes)
{
    const bool had_head = parser_->has_head;
    const std::size_t used = parser_->feed(bytes);
    if (!had_head && parser_->has_head) {
        head_error_ = check_head(parser_->headers, parser_->version);
    }
    return used;
}

bool request_reader::has_head() const
{
    return parser_->has_head;
}

bool request_reader::is_complete() const
{
    return !parser_->error && parser_->is_done();
}

int request_reader::error_status() const
{
    if (parser_->error == beast::http::error::header_limit) {
        return status_head_too_large;
    }
    if (parser_->error == beast::http::error::body_limit) {
        return status_too_large;
    }
    if (parser_->error) {
        return status_bad_request;
    }
    return head_error_;
}

bool request_reader::expects_continue() const
{
    return find_header(parser_->headers, "expect") == "100-continue";
}

bool request_reader::keep_alive() const
{
    return parser_->keep_alive();
}

bool request_reader::accepts_chunked() const
{
    return parser_->version >= first_chunked_version;
}

request request_reader::take()
{
    return request{std::move(parser_->method), std::move(parser_->path),
                   std::move(parser_->headers), std::move(parser_->body)};
}

response_reader::response_reader(bool without_body)
{
    restart(without_body);
}

void response_reader::restart(bool without_body)
{
    parser_ = std::make_unique<parser>();
    parser_->eager(true);
    parser_->skip(without_body);
    parser_->header_limit(max_response_head_bytes);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

response_reader::~response_reader() = default;

std::size_t response_reader::feed(std::string_view bytes)
{
    std::size_t used = parser_->feed(bytes);
    // An interim (1xx) response carries no result and is skipped; the final one follows.
    while (parser_->has_head && parser_->status < first_final_status && !parser_->error) {
        ++interim_responses_;
        if (interim_responses_ > max_interim_responses) {
            parser_->error = beast::http::error::bad_status;
            break;
        }
        restart(parser_->skip());
        used += parser_->feed(bytes.substr(used));
    }
    return used;
}

void response_reader::finish()
{
    if (parser_->error || parser_->is_done()) {
        return;
    }
    if (!parser_->got_some()) {
        parser_->error = beast::http::error::end_of_stream;
        return;
    }
    parser_->put_eof(parser_->error);
}

bool response_reader::has_head() const
{
    return parser_->has_head;
}

bool response_reader::is_complete() const
{
    return !parser_->error && parser_->is_done();
}

absl::Status response_reader::error() const
{
    if (!parser_->error) {
        return absl::OkStatus();
    }
    return core::make_error(
        core::error_kind::unavailable,
        core::concat("incomplete or malformed response: ", parser_->error.message()),
        "try another target");
}

response_head response_reader::head() const
{
    return response_head{parser_->status, parser_->headers};
}

std::string response_reader::take_body()
{
    std::string taken;
    taken.swap(parser_->body);
    return taken;
}

std::string_view reason_phrase(int status)
{
    return view(beast::http::obsolete_reason(beast::http::int_to_status(status)));
}

} // namespace cyclamen::http
