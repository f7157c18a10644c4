#include "standin/row_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(transaction_is_applied_completely_or_not_at_all)
{
    standin::row_store rows;
    BOOST_TEST(rows.commit({{"t", "a", 0}}, {{"t", "a", "1", false}}));
    BOOST_TEST(!rows.commit({{"t", "a", 0}}, {{"t", "b", "1", false}}));
    BOOST_TEST(rows.version() == 1U);
    BOOST_TEST(rows.commit({{"t", "a", 1}}, {{"t", "a", "", true}, {"t", "b", "2", false}}));
    const auto read = rows.read("t", "", 10);
    BOOST_REQUIRE(read.rows.size() == 1U);
    BOOST_TEST(read.rows.at(0).key == "b");
    BOOST_TEST(read.version == 2U);
}

BOOST_AUTO_TEST_CASE(table_is_read_in_parts)
{
    standin::row_store rows;
    for (const char* key : {"a", "b", "c"}) {
        BOOST_TEST(rows.commit({}, {{"t", key, "", false}}));
    }
    BOOST_TEST(!rows.read("t", "", 2).complete);
    BOOST_TEST(rows.read("t", "b", 2).complete);
    BOOST_TEST(rows.read("t", "b", 2).rows.size() == 2U);
    BOOST_TEST(rows.read("other", "", 2).rows.empty());
}

BOOST_AUTO_TEST_CASE(changes_are_returned_until_the_history_is_dropped)
{
    standin::row_store rows;
    BOOST_TEST(rows.commit({}, {{"t", "a", "1", false}}));
    BOOST_TEST(rows.commit({}, {{"t", "a", "", true}}));
    BOOST_TEST(rows.commit({}, {{"u", "a", "1", false}}));
    const auto changes = rows.changes("t", 1);
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->rows.size() == 1U);
    BOOST_TEST(changes->rows.at(0).removed);
    rows.drop_history();
    BOOST_TEST(!rows.changes("t", 1).has_value());
    BOOST_TEST(rows.changes("t", 3)->rows.empty());
}
