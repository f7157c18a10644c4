#include "http/completion_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include "http/sse.hpp"

using namespace cyclamen;

namespace {

absl::StatusOr<api::generation_request>
decode(std::string body, std::vector<http::header> headers = {},
       http::completion_form form = http::completion_form::text)
{
    return http::decode_generation_request(
        core::caller_id{1}, http::request{"POST", "/", std::move(headers), std::move(body)}, form);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_decoded_from_body_and_headers)
{
    const auto decoded = decode(
        R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})",
        {{"authorization", "Bearer secret"}, {"idempotency-key", "k"}, {"last-event-id", "2"}});
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded->bearer == "secret");
    BOOST_TEST(decoded->key.str() == "k");
    BOOST_TEST(decoded->tokens_held == 2U);
    BOOST_TEST(decoded->max_tokens == 3U);
    BOOST_TEST(decoded->streaming);
}

BOOST_AUTO_TEST_CASE(chat_messages_are_joined_into_a_prompt)
{
    const auto decoded = decode(R"({"model":"m","messages":[{"role":"user","content":"hello"}]})",
                                {}, http::completion_form::chat);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded->prompt == "user: hello\n");
}

BOOST_AUTO_TEST_CASE(invalid_bodies_are_rejected_as_invalid_argument)
{
    for (const char* body : {"", "{", "[]", R"({"model":"m"})", R"({"model":"m","prompt":3})",
                             R"({"model":"m","prompt":"p","max_tokens":0})"}) {
        const auto decoded = decode(body);
        BOOST_REQUIRE(!decoded.ok());
        BOOST_TEST((core::kind_of(decoded.status()) == core::error_kind::invalid_argument));
    }
    BOOST_TEST(!decode(R"({"model":"m","prompt":"p"})", {{"last-event-id", "x"}}).ok());
}

BOOST_AUTO_TEST_CASE(an_error_body_states_whether_the_request_was_run)
{
    const auto body = nlohmann::json::parse(http::encode_error(
        core::failure{core::error_kind::overloaded, "full; wait", true, std::chrono::seconds{1}}));
    BOOST_TEST(body["not_run"].get<bool>());
    BOOST_TEST(body["error"]["type"] == "overloaded");
    BOOST_TEST(http::http_status_of(core::error_kind::overloaded) == 429);
}

RC_BOOST_PROP(events_are_decoded_for_any_split_of_the_stream, ())
{
    const auto texts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('!', '~'))));
    std::string stream;
    for (std::size_t i = 0; i < texts.size(); ++i) {
        stream += http::encode_sse({std::to_string(i), texts[i]});
    }
    http::sse_reader reader;
    std::vector<std::string> received;
    while (!stream.empty()) {
        const auto part = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
        reader.feed(stream.substr(0, part),
                    [&](const http::sse_event& event) { received.push_back(event.data); });
        stream.erase(0, part);
    }
    RC_ASSERT(received == texts);
}

BOOST_AUTO_TEST_CASE(odd_request_bodies_are_refused_and_do_not_end_the_process)
{
    const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string& odd :
         {std::string{"1e999"}, std::string{"-1e999"}, std::string{"18446744073709551616"},
          std::string{"-1"}, nested, "{\"a\":" + nested + "}"}) {
        BOOST_TEST(!decode(R"({"model":"m","prompt":"p","max_tokens":)" + odd + "}").ok());
        BOOST_TEST(!decode(R"({"model":"m","prompt":)" + odd + "}").ok());
        BOOST_TEST(!decode(odd).ok());
    }
}

BOOST_AUTO_TEST_CASE(odd_events_of_an_engine_are_errors_and_do_not_end_the_process)
{
    const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string& odd :
         {std::string{"5"}, std::string{"{}"}, std::string{"1e999"}, nested}) {
        BOOST_TEST(!http::decode_chunk(R"({"choices":[{"text":)" + odd + "}]}").ok());
        BOOST_TEST(!http::decode_chunk(R"({"choices":)" + odd + "}").ok());
        BOOST_TEST(http::decode_attempts(R"({"usage":{"attempts":)" + odd + "}}") <= 5U);
        BOOST_TEST(http::decode_attempts(R"({"usage":)" + odd + "}") == 0U);
    }
    BOOST_TEST(http::decode_chunk(R"({"choices":[{"text":"t"}]})").value() == "t");
}
