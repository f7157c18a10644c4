#include "replica/feed_codec.hpp"

#include <limits>

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(query_and_answer_survive_encoding)
{
    const replica::feed_query query{{{"op", {2, 7}}, {"servers", {}}},
                                    std::chrono::milliseconds{500}};
    BOOST_TEST((replica::decode_feed_query(replica::encode(query)).value() == query));
    const replica::feed_answer answer{
        {{"op", {2, 9}, true, {{"config", std::string{"\0x", 2}, {2, 9}, false}}},
         {"servers", {2, 9}, false, {{"s", "", {2, 8}, true}}}},
        std::chrono::milliseconds{250}};
    BOOST_TEST((replica::decode_feed_answer(replica::encode(answer)).value() == answer));
}

BOOST_AUTO_TEST_CASE(invalid_body_is_rejected)
{
    BOOST_TEST(!replica::decode_feed_query("\xff\xff\xff").ok());
    BOOST_TEST(!replica::decode_feed_answer("{\"rows\":[]}").ok());
}

BOOST_AUTO_TEST_CASE(paces_travel_with_queries_and_answers)
{
    const std::vector<routing::pace_report> paces{
        {core::target_name{"t-1"}, core::wall_time{std::chrono::milliseconds{1700000000123}}, 2.5,
         1.25, std::chrono::milliseconds{750}},
        {core::target_name{"t-2"}, core::wall_time{std::chrono::milliseconds{5}}, 0.5, 6.0,
         std::chrono::milliseconds{0}}};
    const replica::feed_query query{
        {{"op", {2, 7}}}, std::chrono::milliseconds{500}, paces, 1234567890123};
    BOOST_TEST((replica::decode_feed_query(replica::encode(query)).value() == query));
    const replica::feed_answer answer{{{"servers", {2, 9}, false, {{"s", "", {2, 8}, true}}}},
                                      std::chrono::milliseconds{250},
                                      paces,
                                      77};
    BOOST_TEST((replica::decode_feed_answer(replica::encode(answer)).value() == answer));
}

BOOST_AUTO_TEST_CASE(messages_without_paces_are_those_of_earlier_versions)
{
    // Field 1: table "op" at version 7; field 2: 500 ms.
    const std::string earlier{"\x0a\x06\x0a\x02op\x10\x07\x10\xf4\x03", 11};
    const replica::feed_query query{{{"op", {0, 7}}}, std::chrono::milliseconds{500}};
    BOOST_TEST((replica::decode_feed_query(earlier).value() == query));
    BOOST_TEST(replica::encode(query) == earlier);
    // An earlier version sees the paces as a field that it doesn't know.
    const std::string extended = replica::encode(
        replica::feed_query{query.known,
                            query.wait,
                            {{core::target_name{"t"}, {}, 2.0, 1.0, std::chrono::seconds{1}}},
                            3});
    BOOST_TEST(extended.substr(0, earlier.size()) == earlier);
    BOOST_TEST(extended.size() > earlier.size());
}

BOOST_AUTO_TEST_CASE(reports_that_no_instance_can_have_made_are_dropped)
{
    const auto decoded = replica::decode_feed_answer(replica::encode(replica::feed_answer{
        {},
        {},
        {{core::target_name{"t-1"}, {}, -1.0, 1.0, {}},
         {core::target_name{"t-2"}, {}, std::numeric_limits<double>::infinity(), 1.0, {}},
         {core::target_name{"t-3"}, {}, 2.0, std::numeric_limits<double>::quiet_NaN(), {}},
         {core::target_name{"t-4"}, {}, 2.0, 1.0, std::chrono::hours{3}},
         {core::target_name{"t-5"}, {}, 2.0, 1.0, {}}},
        4}));
    BOOST_REQUIRE(decoded.ok());
    BOOST_REQUIRE(decoded->paces.size() == 1U);
    BOOST_TEST(decoded->paces.front().target.str() == "t-5");
    BOOST_TEST(decoded->pace_position == 4U);
    // A damaged extension field: the tables still count.
    const auto damaged = replica::decode_feed_answer(std::string{"\x1a\x02\x12\x09", 4});
    BOOST_TEST((damaged.ok() && damaged->paces.empty()));
}
