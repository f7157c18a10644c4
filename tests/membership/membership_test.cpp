#include "membership/membership.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "membership/fleet.hpp"

using namespace cyclamen;
using api::member_state;

namespace {

using std::chrono::seconds;

/// Goal: all instances know within this time that an instance is draining.
constexpr core::duration spread_limit = seconds{2};

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

RC_BOOST_PROP(merged_view_does_not_depend_on_order_or_repetition_of_reports, ())
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

BOOST_AUTO_TEST_CASE(instances_discover_each_other_through_one_seed)
{
    test::fleet fleet;
    fleet.add_many(20);
    BOOST_TEST(
        fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }).has_value());
}

BOOST_AUTO_TEST_CASE(draining_state_reaches_all_instances_in_time_despite_message_loss)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        test::fleet fleet{seed};
        fleet.add_many(40);
        BOOST_REQUIRE(fleet.run_until(seconds{10}, [&] { return fleet.all_see_all_serving(); }));
        fleet.loss = 0.1;
        auto& draining_node = *fleet.nodes[seed];
        draining_node.state.announce(member_state::draining, fleet.now);
        const auto spread_time = fleet.run_until(
            spread_limit, [&] { return fleet.all_see(draining_node, member_state::draining); });
        BOOST_TEST(spread_time.has_value(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(crashed_instance_is_detected_and_no_running_instance_is_declared_gone)
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

BOOST_AUTO_TEST_CASE(paused_instance_rejoins_with_the_same_incarnation)
{
    test::fleet fleet;
    fleet.add_many(10);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    auto& paused_node = *fleet.nodes[4];
    fleet.set_paused(paused_node, true);
    BOOST_REQUIRE(fleet.run_until(seconds{20},
                                  [&] { return fleet.all_see(paused_node, member_state::gone); }));
    fleet.set_paused(paused_node, false);
    BOOST_TEST(
        fleet.run_until(seconds{6}, [&] { return fleet.all_see_all_serving(); }).has_value());
    BOOST_TEST(paused_node.pauses == 1);
    BOOST_TEST(!paused_node.was_superseded);
}

BOOST_AUTO_TEST_CASE(old_incarnation_that_resumes_is_superseded)
{
    test::fleet fleet;
    fleet.add_many(5);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    auto& old_node = *fleet.nodes[2];
    fleet.set_paused(old_node, true);
    fleet.run(seconds{10});
    auto& replacement_node = fleet.add(old_node.state.self().identity.name.str(), 60, 2);
    fleet.run(seconds{5});
    fleet.set_paused(old_node, false);
    BOOST_TEST(fleet.run_until(seconds{10}, [&] { return old_node.was_superseded; }).has_value());
    BOOST_TEST(!replacement_node.was_superseded);
    BOOST_TEST((
        fleet.nodes[0]->state.others().find(old_node.state.self().identity.name)->member.identity ==
        replacement_node.state.self().identity));
}

BOOST_AUTO_TEST_CASE(new_instance_on_a_reused_address_replaces_the_old_one)
{
    test::fleet fleet;
    fleet.add_many(5);
    BOOST_REQUIRE(fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }));
    auto& old_node = *fleet.nodes[2];
    old_node.alive = false;
    auto& new_node = fleet.add("newcomer", old_node.state.self().peers.port, 2);
    BOOST_TEST(
        fleet.run_until(seconds{5}, [&] { return fleet.all_see_all_serving(); }).has_value());
    BOOST_TEST(fleet.all_see(old_node, member_state::gone));
    BOOST_TEST(fleet.all_see(new_node, member_state::serving));
}

BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_keep_serving_and_merge_after_it_heals)
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

BOOST_AUTO_TEST_CASE(departed_instances_are_forgotten_after_the_retention_time)
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
