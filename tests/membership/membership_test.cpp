#include "membership/membership.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "membership/fleet.hpp"

using namespace cyclamen;
using api::member_state;

namespace {

using std::chrono::seconds;

/// Target: a leaving instance is known everywhere within this.
constexpr core::duration leaving_limit = seconds{2};

api::member any_member()
{
    return api::member{{core::instance_name{"m"}, core::incarnation{*rc::gen::inRange(1U, 4U)}},
                       *rc::gen::inRange(1U, 4U),
                       static_cast<member_state>(*rc::gen::inRange(0, 4)),
                       core::failure_domain_name{"d"},
                       core::socket_address{"127.0.0.1", 1},
                       core::socket_address{"127.0.0.1", 2}};
}

} // namespace

RC_BOOST_PROP(reports_in_any_order_lead_to_one_view, ())
{
    std::vector<api::member> forward;
    for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
        forward.push_back(any_member());
    }
    membership::member_table first;
    membership::member_table second;
    for (auto each = forward.begin(); each != forward.end(); ++each) {
        first.merge(*each, core::instant{});
    }
    for (auto each = forward.rbegin(); each != forward.rend(); ++each) {
        second.merge(*each, core::instant{});
        second.merge(*each, core::instant{});
    }
    RC_ASSERT(first.present() == second.present());
}

BOOST_AUTO_TEST_CASE(instances_find_each_other_through_one_seed)
{
    test::fleet fleet;
    fleet.add_many(20);
    BOOST_TEST(
        fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }).has_value());
}

BOOST_AUTO_TEST_CASE(leaving_is_known_everywhere_in_time_with_losses)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        test::fleet fleet{seed};
        fleet.add_many(40);
        BOOST_REQUIRE(fleet.run_until(seconds{10}, [&] { return fleet.all_see_all_serving(); }));
        fleet.loss = 0.1;
        auto& leaver = *fleet.nodes[seed];
        leaver.state.announce(member_state::draining, fleet.now);
        const auto spread = fleet.run_until(
            leaving_limit, [&] { return fleet.all_see(leaver, member_state::draining); });
        BOOST_TEST(spread.has_value(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_dead_instance_is_found_and_nobody_else_is_blamed)
{
    test::fleet fleet;
    fleet.add_many(20);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    fleet.loss = 0.02;
    fleet.nodes[3]->alive = false;
    BOOST_TEST(fleet
                   .run_until(seconds{10},
                              [&] { return fleet.all_see(*fleet.nodes[3], member_state::gone); })
                   .has_value());
    fleet.run(seconds{60});
    fleet.loss = 0;
    BOOST_TEST(
        fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_paused_instance_returns_as_itself)
{
    test::fleet fleet;
    fleet.add_many(10);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    auto& sleeper = *fleet.nodes[4];
    fleet.set_paused(sleeper, true);
    BOOST_REQUIRE(
        fleet.run_until(seconds{20}, [&] { return fleet.all_see(sleeper, member_state::gone); }));
    fleet.set_paused(sleeper, false);
    BOOST_TEST(
        fleet.run_until(seconds{6}, [&] { return fleet.all_see_all_serving(); }).has_value());
    BOOST_TEST(sleeper.pauses == 1);
    BOOST_TEST(!sleeper.was_superseded);
}

BOOST_AUTO_TEST_CASE(an_old_life_that_returns_finds_itself_superseded)
{
    test::fleet fleet;
    fleet.add_many(5);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    auto& old = *fleet.nodes[2];
    fleet.set_paused(old, true);
    fleet.run(seconds{10});
    auto& replacement = fleet.add(old.state.self().identity.name.str(), 60, 2);
    fleet.run(seconds{5});
    fleet.set_paused(old, false);
    BOOST_TEST(fleet.run_until(seconds{10}, [&] { return old.was_superseded; }).has_value());
    BOOST_TEST(!replacement.was_superseded);
    BOOST_TEST(
        (fleet.nodes[0]->state.others().find(old.state.self().identity.name)->member.identity ==
         replacement.state.self().identity));
}

BOOST_AUTO_TEST_CASE(a_new_instance_on_an_old_address_is_not_taken_for_the_old_one)
{
    test::fleet fleet;
    fleet.add_many(5);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    auto& old = *fleet.nodes[2];
    old.alive = false;
    auto& successor = fleet.add("newcomer", old.state.self().peers.port, 2);
    BOOST_TEST(
        fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }).has_value());
    BOOST_TEST(fleet.all_see(old, member_state::gone));
    BOOST_TEST(fleet.all_see(successor, member_state::serving));
}

BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_go_on_and_find_each_other_again)
{
    test::fleet fleet;
    fleet.add_many(12);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.nodes[i]->partition = 1;
    }
    fleet.run(seconds{60});
    for (const auto& each : fleet.nodes) {
        BOOST_TEST(each->state.present().size() == 6U);
        BOOST_TEST((each->state.self().state == member_state::serving));
    }
    for (const auto& each : fleet.nodes) {
        each->partition = 0;
    }
    BOOST_TEST(
        fleet.run_until(seconds{20}, [&] { return fleet.all_see_all_serving(); }).has_value());
}

BOOST_AUTO_TEST_CASE(those_who_left_are_forgotten_in_the_end)
{
    test::fleet fleet;
    fleet.add_many(6);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    fleet.nodes[5]->state.announce(member_state::gone, fleet.now);
    fleet.run(std::chrono::milliseconds{500});
    fleet.nodes[5]->alive = false;
    fleet.run(std::chrono::minutes{62});
    for (std::size_t i = 0; i < 5; ++i) {
        BOOST_TEST(fleet.nodes[i]->state.others().all().size() == 4U);
    }
}
