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
                   {relay::member_entry{make_member("a"), {1, 1}},
                    relay::member_entry{make_member("b"), {1, 2}},
                    relay::member_entry{make_member("c"), {1, 3}}},
                   {});
    BOOST_TEST(members.watched()->name.str() == "c");
    members.update(false, {}, {core::instance_name{"c"}});
    BOOST_TEST(members.watched()->name.str() == "a");
}

BOOST_AUTO_TEST_CASE(entry_is_withdrawn_after_consecutive_failed_checks)
{
    relay::member_registry members{core::instance_name{"a"}, {}};
    members.update(true, {relay::member_entry{make_member("b"), {1, 7}}}, {});
    const core::instance_name asked{"b"};
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    BOOST_TEST(!members.on_answer(asked, true).has_value());
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    BOOST_TEST(!members.on_answer(asked, false).has_value());
    const auto withdrawn = members.on_answer(asked, false);
    BOOST_REQUIRE(withdrawn.has_value());
    BOOST_TEST((withdrawn->version == core::store_version{1, 7}));
}

BOOST_AUTO_TEST_CASE(unresponsive_watched_instance_is_withdrawn)
{
    test::relay_fixture fixture;
    fixture.handle(relay::members_listed{true,
                                         {relay::member_entry{make_member("i-1"), {1, 1}},
                                          relay::member_entry{make_member("i-2"), {1, 2}}},
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

BOOST_AUTO_TEST_CASE(an_instance_whose_row_a_restore_of_the_store_lost_is_listed_again)
{
    const core::instance_name self{"i-1"};
    const core::instance_name other{"i-2"};
    test::relay_fixture fixture;
    const auto announced = [&] {
        return test::relay_fixture::count<relay::announce_member>(fixture.to_store);
    };
    const std::size_t before = announced();
    fixture.handle(relay::members_restored{{self, other}});
    BOOST_TEST(announced() == before);
    fixture.handle(relay::members_restored{{other}});
    BOOST_TEST(announced() == before + 1);
}

BOOST_AUTO_TEST_CASE(an_instance_that_leaves_withdraws_its_row_from_a_restored_store_again)
{
    const core::instance_name self{"i-1"};
    test::relay_fixture fixture;
    fixture.handle(relay::stop_requested{});
    const std::size_t before = test::relay_fixture::count<relay::announce_member>(fixture.to_store);
    fixture.handle(relay::members_restored{{self}});
    BOOST_TEST(test::relay_fixture::count<relay::announce_member>(fixture.to_store) == before + 1);
}

BOOST_AUTO_TEST_CASE(an_instance_that_the_first_complete_list_lacks_is_listed_again)
{
    test::relay_fixture fixture;
    const std::size_t before = test::relay_fixture::count<relay::announce_member>(fixture.to_store);
    fixture.handle(
        relay::members_listed{true, {relay::member_entry{make_member("i-2"), {2, 2}}}, {}});
    BOOST_TEST(test::relay_fixture::count<relay::announce_member>(fixture.to_store) == before + 1);
}
