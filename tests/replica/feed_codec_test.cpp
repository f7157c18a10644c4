#include "replica/feed_codec.hpp"

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
