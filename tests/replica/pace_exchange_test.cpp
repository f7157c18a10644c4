#include "replica/pace_exchange.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

const core::instant begin{1h};
const core::wall_time born{1s};
const replica::feed_peer reader_peer{core::instance_name{"r"}, core::failure_domain_name{"a"},
                                     core::socket_address{"10.0.0.9", 80}, 1.0};

routing::pace_report report(const std::string& target, double factor)
{
    return routing::pace_report{core::target_name{target}, born, factor, 3.0, 0s};
}

/// A query of the follower and the reader's answer.
std::size_t exchange(replica::pace_exchange& follower, replica::pace_exchange& reader,
                     core::instant now)
{
    const std::uint64_t position = follower.position_at(reader_peer);
    reader.merge(follower.take_unsent(now), now);
    const replica::pace_changes changes = reader.changes_since(position, now);
    follower.apply(changes.paces, changes.position, now);
    return changes.paces.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(followers_learn_from_each_other_and_hear_each_change_once)
{
    replica::pace_exchange reader;
    replica::pace_exchange first;
    replica::pace_exchange second;
    first.observe({report("t-1", 3.0), report("t-2", 1.05)}, begin, false);
    exchange(first, reader, begin);
    BOOST_TEST(exchange(second, reader, begin) == 1U);
    const auto learnt = second.take_changes(begin);
    BOOST_REQUIRE(learnt.size() == 1U);
    BOOST_TEST(learnt.front().target.str() == "t-1");
    BOOST_TEST(exchange(second, reader, begin + 1s) == 0U);
    BOOST_TEST(second.take_changes(begin + 1s).empty());
    // The reader's own placement learns it as well.
    BOOST_TEST(reader.take_changes(begin + 1s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(target_that_recovered_is_handed_on_and_silent_news_die_out)
{
    replica::pace_exchange reader;
    replica::pace_exchange follower;
    reader.merge({report("t-1", 3.0)}, begin);
    exchange(follower, reader, begin);
    core::instant now = begin;
    for (int i = 0; i < 3; ++i) {
        reader.merge({report("t-1", 1.0)}, now += 1s);
    }
    BOOST_TEST(exchange(follower, reader, now) == 1U);
    reader.merge({report("t-2", 3.0)}, now);
    reader.merge({}, now + 10min);
    BOOST_TEST(reader.changes_since(0, now + 10min).paces.empty());
}

BOOST_AUTO_TEST_CASE(answers_are_bounded_and_the_rest_follows)
{
    replica::pace_exchange reader;
    replica::pace_exchange follower;
    std::vector<routing::pace_report> all;
    for (int i = 0; i < 40; ++i) {
        all.push_back(report("t-" + std::to_string(i), 2.5));
    }
    reader.merge(all, begin);
    BOOST_TEST(exchange(follower, reader, begin) == replica::pace_exchange::max_changes);
    BOOST_TEST(exchange(follower, reader, begin) == replica::pace_exchange::max_changes);
    BOOST_TEST(exchange(follower, reader, begin) == 8U);
    BOOST_TEST(exchange(follower, reader, begin) == 0U);
}

BOOST_AUTO_TEST_CASE(another_or_restarted_reader_is_asked_for_everything)
{
    replica::pace_exchange follower;
    replica::pace_exchange reader;
    reader.merge({report("t-1", 3.0), report("t-2", 3.0)}, begin);
    exchange(follower, reader, begin);
    replica::pace_exchange restarted;
    restarted.merge({report("t-3", 3.0)}, begin);
    BOOST_TEST(exchange(follower, restarted, begin) == 1U);
    const replica::feed_peer other{core::instance_name{"s"}, reader_peer.domain,
                                   core::socket_address{"10.0.0.8", 80}, 1.0};
    BOOST_TEST(follower.position_at(other) == 0U);
}

BOOST_AUTO_TEST_CASE(reports_of_an_earlier_incarnation_are_ignored)
{
    replica::pace_exchange reader;
    const core::target_name target{"t-1"};
    reader.merge({routing::pace_report{target, born + 1s, 3.0, 3.0, 0s}}, begin);
    reader.merge({routing::pace_report{target, born, 1.0, 6.0, 0s}}, begin);
    const auto changes = reader.changes_since(0, begin);
    BOOST_REQUIRE(changes.paces.size() == 1U);
    BOOST_TEST((changes.paces.front().started_at == born + 1s));
    BOOST_TEST(changes.paces.front().factor == 3.0, boost::test_tools::tolerance(1e-9));
}
