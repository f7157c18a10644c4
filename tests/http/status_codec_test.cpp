#include "http/status_codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(status_messages_are_unchanged_after_encoding_and_decoding)
{
    const core::target_name target{"t"};
    const api::target_load_report load{target, 3, 1, 64, std::chrono::milliseconds{500}, true};
    BOOST_TEST((*http::decode_load(http::encode_load(load), target) == load));
    const std::vector<api::target_cache_change> changes{
        {target, 7, {1, 0xffff'ffff'ffff'ffff}, {3}, std::chrono::milliseconds{20}}};
    BOOST_TEST((*http::decode_cache_events(http::encode_cache_events(changes), target) == changes));
}

BOOST_AUTO_TEST_CASE(malformed_status_responses_are_errors)
{
    const core::target_name target{"t"};
    for (const char* body : {"", "[]", "{}", R"({"running":"x"})"}) {
        BOOST_TEST(!http::decode_load(body, target).ok());
    }
    for (const char* body : {"", "{}", R"({"events":[{}]})", R"({"events":[{"number":"x"}]})"}) {
        BOOST_TEST(!http::decode_cache_events(body, target).ok());
    }
}
