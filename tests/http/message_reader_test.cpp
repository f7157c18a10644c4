#include "http/message_reader.hpp"

#include <absl/strings/ascii.h>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <rapidcheck/boost_test.h>

using namespace cyclamen;

namespace {

/// Reads a response after which the connection is closed gracefully.
std::unique_ptr<http::response_reader> read_until_close(std::string_view bytes)
{
    auto reader = std::make_unique<http::response_reader>(false);
    reader->feed(bytes);
    reader->finish();
    return reader;
}

bool is_whole(std::string_view bytes)
{
    const auto reader = read_until_close(bytes);
    return reader->is_complete() && reader->error().ok();
}

int error_status_of(std::string_view bytes)
{
    http::request_reader reader{
        http::message_limits{.max_header_bytes = 200, .max_body_bytes = 10}};
    reader.feed(bytes);
    return reader.error_status();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_truncated_response_is_never_complete)
{
    BOOST_TEST(!is_whole(""));
    BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\ncontent-le"));
    BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc"));
    BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nab"));
}

BOOST_AUTO_TEST_CASE(complete_responses_of_each_framing_are_read)
{
    BOOST_TEST(is_whole("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"));
    BOOST_TEST(
        is_whole("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
    BOOST_TEST(is_whole("HTTP/1.1 200 OK\r\n\r\nabc"));
    BOOST_TEST(is_whole("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"));
}

namespace {

/// A response and the number of its first bytes that a close may follow, 0 if only its end may.
struct sample_response {
    std::string bytes;
    std::size_t whole_from = 0;
};

/// @return a valid response of any framing that the reader knows, after any interim responses
sample_response draw_response()
{
    std::string bytes;
    const int interim = *rc::gen::inRange(0, 3);
    for (int i = 0; i < interim; ++i) {
        bytes += *rc::gen::element<std::string>(
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\ncontent-length: 0\r\n\r\n");
    }
    const std::string fields = *rc::gen::element<std::string>(
        "", "x-cyclamencourse-response-seal: 3e1b.07\r\n", "a: \r\nb:c\r\n");
    const std::string body(static_cast<std::size_t>(*rc::gen::inRange(1, 40)), 'b');
    const std::string status = *rc::gen::element<std::string>("200 OK", "500 Failed", "200 ");
    bytes += "HTTP/1.1 " + status + "\r\n" + fields;
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        bytes += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        return {bytes};
    case 1:
        bytes += "transfer-encoding: chunked\r\n\r\n1\r\na\r\n" + fmt::format("{:x}", body.size()) +
                 ";x=y\r\n" + body + "\r\n0\r\n" + (*rc::gen::arbitrary<bool>() ? "t: v\r\n" : "") +
                 "\r\n";
        return {bytes};
    case 2:
        bytes += "content-length: 0\r\n\r\n";
        return {bytes};
    default:
        bytes += "\r\n";
        return {bytes + body, bytes.size()};
    }
}

} // namespace

RC_BOOST_PROP(a_response_cut_anywhere_by_a_close_is_never_complete, ())
{
    const sample_response sent = draw_response();
    RC_ASSERT(is_whole(sent.bytes));
    const std::size_t whole_from = sent.whole_from == 0 ? sent.bytes.size() : sent.whole_from;
    for (std::size_t length = 0; length < whole_from; ++length) {
        const auto reader = read_until_close(std::string_view{sent.bytes}.substr(0, length));
        RC_ASSERT(!reader->is_complete());
        RC_ASSERT(!reader->error().ok());
    }
    for (std::size_t length = whole_from; length < sent.bytes.size(); ++length) {
        // Only the close ends this response.
        RC_ASSERT(is_whole(std::string_view{sent.bytes}.substr(0, length)));
    }
}

RC_BOOST_PROP(a_response_cut_anywhere_without_a_close_is_never_complete, ())
{
    const sample_response sent = draw_response();
    for (std::size_t length = 0; length < sent.bytes.size(); ++length) {
        http::response_reader reader{false};
        reader.feed(std::string_view{sent.bytes}.substr(0, length));
        RC_ASSERT(!reader.is_complete());
    }
}

BOOST_AUTO_TEST_CASE(a_length_whose_digits_are_cut_is_no_shorter_length)
{
    const std::string head = "HTTP/1.1 200 OK\r\ncontent-length: ";
    for (const std::string rest : {"", "1", "12", "1\r", "1\r\n", "1\r\n\r", "0", "0\r\n"}) {
        BOOST_TEST(!is_whole(head + rest));
    }
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_is_incomplete_until_the_connection_ends)
{
    http::response_reader reader{false};
    reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST(reader.has_head());
    BOOST_TEST(!reader.is_complete());
}

BOOST_AUTO_TEST_CASE(malformed_responses_are_errors)
{
    BOOST_TEST(!is_whole("garbage\r\n\r\n"));
    BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc"));
    BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nabc"));
    BOOST_TEST(
        !is_whole("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_response_whose_status_is_none_of_the_protocol_is_an_error)
{
    const std::string whole = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
    for (const std::string status : {"000", "0", "099", "99", "001", "-1", "+20", "1000", "2000",
                                     "2OO", "", " ", "20", "600", "999", "101"}) {
        for (const std::string rest :
             {"\r\n\r\n", " \r\n\r\n", " Trouble\r\nseal: 3e1b\r\ncontent-length: 3\r\n\r\nabc",
              " Trouble\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\n"}) {
            // Neither such a status nor a response that follows it on the connection may be taken.
            for (const std::string next : {"", whole.c_str()}) {
                for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
                    http::response_reader reader{false};
                    std::string_view bytes;
                    const std::string sent = before + "HTTP/1.1 " + status + rest + next;
                    bytes = sent;
                    bytes.remove_prefix(reader.feed(bytes));
                    reader.feed(bytes);
                    reader.finish();
                    BOOST_TEST(!reader.has_head(), "head of '" << sent << "'");
                    BOOST_TEST(!reader.is_complete(), "'" << sent << "'");
                    BOOST_TEST(!reader.error().ok(), "'" << sent << "'");
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_complete_response_are_not_consumed)
{
    http::response_reader reader{false};
    const std::string_view bytes =
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n";
    const std::size_t used = reader.feed(bytes);
    BOOST_TEST(reader.is_complete());
    BOOST_TEST(reader.take_body() == "abc");
    BOOST_TEST(bytes.substr(used).starts_with("HTTP/1.1"));
}

BOOST_AUTO_TEST_CASE(requests_with_ambiguous_framing_are_rejected)
{
    constexpr int bad_request = 400;
    BOOST_TEST(error_status_of("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
                               "transfer-encoding: chunked\r\n\r\n0\r\n\r\n") == bad_request);
    BOOST_TEST(error_status_of("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
                               "content-length: 4\r\n\r\nabcd") == bad_request);
    BOOST_TEST(error_status_of("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n") == bad_request);
    BOOST_TEST(error_status_of("nonsense\r\n\r\n") == bad_request);
    BOOST_TEST(error_status_of("GET / HTTP/1.1\r\nhost: a\r\n\r\n") == 0);
}

// Guards against a request whose body would be taken for the next request.
BOOST_AUTO_TEST_CASE(requests_whose_last_transfer_coding_is_not_chunked_are_rejected)
{
    constexpr int bad_request = 400;
    constexpr int not_implemented = 501;
    const auto status_of = [](const std::string& fields) {
        return error_status_of("POST / HTTP/1.1\r\nhost: a\r\n" + fields + "\r\n");
    };
    BOOST_TEST(status_of("transfer-encoding: xchunked\r\n") == bad_request);
    BOOST_TEST(status_of("transfer-encoding: chunked, gzip\r\n") == bad_request);
    BOOST_TEST(status_of("transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n") ==
               bad_request);
    BOOST_TEST(status_of("transfer-encoding: \r\n") == bad_request);
    BOOST_TEST(status_of("transfer-encoding: chunked, chunked\r\n") == bad_request);
    BOOST_TEST(status_of("transfer-encoding: gzip, chunked\r\n") == not_implemented);
    BOOST_TEST(status_of("transfer-encoding: Chunked\r\n") == 0);
    BOOST_TEST(error_status_of("POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: "
                               "chunked\r\n\r\n0\r\n\r\n") == bad_request);
}

RC_BOOST_PROP(a_request_is_read_only_if_chunked_is_its_one_transfer_coding, ())
{
    const auto codings = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("chunked", "CHUNKED", " chunked ", "gzip", "identity",
                                      "xchunked", "chunked;q=1", "", "\tchunked")));
    std::string fields;
    for (const std::string& each : codings) {
        // In a list of the field before, or in a field of its own.
        fields += !fields.empty() && *rc::gen::arbitrary<bool>()
                      ? "," + each
                      : (fields.empty() ? "" : "\r\n") + std::string{"transfer-encoding:"} + each;
    }
    const std::string length = *rc::gen::element<std::string>("", "\r\ncontent-length: 5");
    http::request_reader reader{http::message_limits{}};
    const std::string bytes = "POST /first HTTP/1.1\r\nhost: a\r\n" + fields + length +
                              "\r\n\r\n0\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n";
    reader.feed(bytes);
    const bool is_chunked =
        codings.size() == 1 &&
        absl::AsciiStrToLower(absl::StripAsciiWhitespace(codings.front())) == "chunked";
    RC_ASSERT((reader.error_status() == 0) == (is_chunked && length.empty()));
    RC_ASSERT(reader.error_status() != 0 || reader.is_complete());
}

BOOST_AUTO_TEST_CASE(requests_over_the_size_limits_are_rejected)
{
    constexpr int too_large = 413;
    constexpr int head_too_large = 431;
    BOOST_TEST(error_status_of("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n") ==
               too_large);
    BOOST_TEST(error_status_of("GET / HTTP/1.1\r\nhost: " + std::string(300, 'a') + "\r\n\r\n") ==
               head_too_large);
}

BOOST_AUTO_TEST_CASE(the_trailers_of_a_request_are_bounded_like_its_head_and_dropped)
{
    constexpr int head_too_large = 431;
    const std::string head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    const auto read = [&](const std::string& trailers) {
        auto reader = std::make_unique<http::request_reader>(
            http::message_limits{.max_header_bytes = 200, .max_body_bytes = 10});
        reader->feed(head + "1\r\nb\r\n0\r\n" + trailers + "\r\n");
        return reader;
    };
    const auto allowed = read("x-late: 1\r\nhost: b\r\n");
    BOOST_REQUIRE(allowed->is_complete());
    BOOST_TEST(allowed->error_status() == 0);
    const http::request request = allowed->take();
    BOOST_TEST(request.find_header("x-late").empty());
    BOOST_TEST(request.find_header("host") == "a");
    BOOST_TEST(request.body == "b");
    std::string many;
    while (many.size() < 300) {
        many += "a:\r\n";
    }
    BOOST_TEST(read(many)->error_status() == head_too_large);
    BOOST_TEST(read("a: " + std::string(300, 'a'))->error_status() == head_too_large);
}

RC_BOOST_PROP(a_request_is_read_for_any_split_of_its_bytes, (const std::vector<std::uint8_t>& cuts))
{
    const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: x\r\nX-Y: z\r\n"
                             "transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
    http::request_reader reader{http::message_limits{}};
    std::size_t arrived = 0;
    std::size_t used = 0;
    for (std::size_t i = 0; arrived < text.size(); ++i) {
        const std::size_t step = i < cuts.size() ? cuts[i] % 16 : text.size();
        arrived = std::min(text.size(), arrived + step);
        used += reader.feed(std::string_view{text}.substr(used, arrived - used));
    }
    RC_ASSERT(reader.is_complete());
    const http::request read = reader.take();
    RC_ASSERT(read.method == "POST" && read.path == "/a/b?c" && read.body == "abcdefg");
    RC_ASSERT(read.find_header("x-y") == "z");
}

namespace {

struct read_result {
    const int error_status;
    const http::request request;

    bool operator==(const read_result&) const = default;
};

/// Reads requests of one connection as a server does, until one is invalid or incomplete.
std::vector<read_result> read_all(std::string_view input, const std::vector<std::uint8_t>& cuts)
{
    std::vector<read_result> results;
    auto reader = std::make_unique<http::request_reader>(
        http::message_limits{.max_header_bytes = 200, .max_body_bytes = 10});
    std::size_t arrived = 0;
    std::size_t used = 0;
    for (std::size_t i = 0; arrived < input.size(); ++i) {
        arrived = std::min(input.size(), arrived + (i < cuts.size() ? cuts[i] % 64 : input.size()));
        while (used < arrived) {
            used += reader->feed(input.substr(used, arrived - used));
            if (reader->error_status() != 0) {
                results.push_back({reader->error_status(), {}});
                return results;
            }
            if (!reader->is_complete()) {
                break;
            }
            results.push_back({0, reader->take()});
            reader = std::make_unique<http::request_reader>(
                http::message_limits{.max_header_bytes = 200, .max_body_bytes = 10});
        }
    }
    return results;
}

} // namespace

RC_BOOST_PROP(requests_sent_ahead_are_read_like_single_ones,
              (const std::vector<std::uint8_t>& cuts))
{
    const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "GET /no-host HTTP/1.1\r\n\r\n",
        "POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc",
        "POST /c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        "2;e=1\r\nab\r\n0\r\nhost: y\r\n\r\n",
        "PUT /\xff HTTP/1.1\r\nhost: x\r\nconnection: a, b\r\nconnection: c\r\n\r\n",
        "POST /large HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\n\r\n",
        "GET /two HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", "GET /bad\x01 HTTP/1.1\r\n\r\n"));
    std::string together;
    std::vector<read_result> expected;
    for (const std::string& each : parts) {
        together += each;
        const bool goes_on = expected.empty() || expected.back().error_status == 0;
        for (const read_result& result :
             goes_on ? read_all(each, {}) : std::vector<read_result>{}) {
            expected.push_back(result);
        }
    }
    RC_ASSERT((read_all(together, cuts) == expected));
}

namespace {

/// Feeds a response without end.
/// @return bytes that the reader and its caller hold when the reader fails, or when the input is
///         longer than any response may be
std::size_t bytes_held(std::string_view begin, std::string_view repeated)
{
    constexpr std::size_t input_size = 4 * 1024 * 1024;
    http::response_reader reader{false};
    std::string input{begin};
    std::size_t fed = 0;
    while (fed < input_size && reader.error().ok()) {
        input += repeated;
        fed += repeated.size();
        input.erase(0, reader.feed(input));
        (void)reader.take_body();
    }
    return reader.error().ok() ? fed : input.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_head_without_end_is_an_error)
{
    constexpr std::size_t most = 128 * 1024;
    const std::string noise(1000, 'x');
    BOOST_TEST(bytes_held("", noise) <= most);
    BOOST_TEST(bytes_held("HTTP/1.1 200 OK\r\n", "a: " + noise + "\r\n") <= most);
    BOOST_TEST(bytes_held("HTTP/1.1 200 OK\r\na: ", noise) <= most);
    BOOST_TEST(bytes_held("", "HTTP/1.1 100 Continue\r\n\r\n") <= most);
    BOOST_TEST(bytes_held("", "HTTP/1.1 103 Early Hints\r\na: " + noise + "\r\n\r\n") <= most);
}

BOOST_AUTO_TEST_CASE(a_chunk_header_or_trailer_without_end_is_an_error)
{
    constexpr std::size_t most = 128 * 1024;
    const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const std::string noise(1000, 'x');
    BOOST_TEST(bytes_held(chunked + "3;", noise) <= most);
    BOOST_TEST(bytes_held(chunked, std::string(1000, '0')) <= most);
    BOOST_TEST(bytes_held(chunked + "0\r\n", "a: " + noise + "\r\n") <= most);
}
