#include <boost/test/unit_test.hpp>

#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

relay::member make_member(const std::string& name, const std::string& domain = "x")
{
    return relay::member{core::instance_name{name}, core::socket_address{"10.0.0.1", 80},
                         core::failure_domain_name{domain}, core::socket_address{"10.0.0.1", 81}};
}

} // namespace

BOOST_AUTO_TEST_CASE(instance_watches_the_next_one_by_name)
{
    relay::member_registry members{core::instance_name{"b"}, {}};
    BOOST_TEST(!members.watched().has_value());
    members.update(true,
                   {relay::member_entry{make_member("a"), 1},
                    relay::member_entry{make_member("b"), 2},
                    relay::member_entry{make_member("c"), 3}},
                   {});
    BOOST_TEST(members.watched()->name.str() == "c");
    members.update(false, {}, {core::instance_name{"c"}});
    BOOST_TEST(members.watched()->name.str() == "a");
}

BOOST_AUTO_TEST_CASE(entry_is_withdrawn_after_consecutive_failed_checks)
{
    relay::member_registry members{core::instance_name{"a"}, {}};
    members.update(true, {relay::member_entry{make_member("b"), 7}}, {});
    const core::instance_name asked{"b"};
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    BOOST_TEST(!members.on_answer(asked, true).has_value());
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    const auto withdrawn = members.on_answer(asked, false);
    BOOST_REQUIRE(withdrawn.has_value());
    BOOST_TEST(withdrawn->version == 7U);
}

BOOST_AUTO_TEST_CASE(unresponsive_watched_instance_is_withdrawn)
{
    test::relay_fixture fixture;
    fixture.handle(relay::members_listed{
        true,
        {relay::member_entry{make_member("i-1"), 1}, relay::member_entry{make_member("i-2"), 2}},
        {}});
    for (int check = 0; check < 3; ++check) {
        fixture.advance(2001ms);
        fixture.handle(relay::instance_answered{core::instance_name{"i-2"}, false});
    }
    BOOST_TEST(test::relay_fixture::count<relay::ask_instance>(fixture.to_targets) == 3U);
    BOOST_TEST(test::relay_fixture::count<relay::withdraw_member>(fixture.to_store) == 1U);
}

BOOST_AUTO_TEST_CASE(callers_stay_in_their_domain_if_it_has_enough_instances)
{
    const std::vector<relay::member> members{make_member("1"), make_member("2"),
                                             make_member("3", "y")};
    BOOST_TEST(relay::choose_entries(members, core::failure_domain_name{"x"}, 2).size() == 2U);
    BOOST_TEST(relay::choose_entries(members, core::failure_domain_name{"y"}, 2).size() == 3U);
}
