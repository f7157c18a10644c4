#include "relay/round_robin_chooser.hpp"
#include "relay/world.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_world;

BOOST_AUTO_TEST_CASE(a_leaving_target_gets_no_request)
{
    relay_world world;
    world.handle(relay::targets_listed{false, {relay_world::target(0, true)}, {}});
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        world.submit(caller);
        BOOST_TEST(world.opened().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(a_target_that_took_the_address_of_another_replaces_it)
{
    relay_world world;
    const relay::target_record old = relay_world::target(0);
    const relay::target_record later{core::target_name{"t-new"},
                                     old.service,
                                     old.address,
                                     old.domain,
                                     old.version,
                                     core::wall_time{std::chrono::milliseconds{2000}},
                                     1,
                                     false};
    world.handle(relay::targets_listed{false, {later}, {}});
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        world.submit(caller);
        BOOST_TEST(world.opened().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_life_changes_nothing)
{
    relay_world world;
    world.handle(relay::targets_listed{false, {relay_world::target(0, false, 2000)}, {}});
    world.handle(relay::targets_listed{false, {relay_world::target(0, true, 1000)}, {}});
    std::set<std::string> used;
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        world.submit(caller);
        used.insert(world.opened().target.str());
    }
    BOOST_TEST(used.contains("t-0"));
}

BOOST_AUTO_TEST_CASE(a_statement_that_arrives_late_does_not_bring_a_leaving_target_back)
{
    relay_world world;
    world.handle(relay::targets_listed{false, {relay_world::target(0, true)}, {}});
    world.handle(relay::targets_listed{false, {relay_world::target(0, false)}, {}});
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        world.submit(caller);
        BOOST_TEST(world.opened().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(
    an_engine_that_started_again_is_used_under_its_new_name_where_its_models_tell_its_service)
{
    for (const bool same_models : {true, false}) {
        relay_world world;
        world.list_targets(1);
        world.submit(1);
        world.handle(relay::attempt_rejected{world.opened().attempt, 421, true});
        const auto* asked = relay_world::find_last<relay::identify_target>(world.to_targets);
        BOOST_REQUIRE(asked != nullptr);
        world.handle(relay::target_identified{
            asked->former,
            core::target_name{"t-new"},
            relay::reported_load{0, 0, 0, 50000, core::wall_time{std::chrono::milliseconds{5000}},
                                 false},
            {same_models ? "m" : "other"}});
        world.pass(100ms);
        BOOST_TEST((world.opened().target.str() == "t-new") == same_models);
    }
}

BOOST_AUTO_TEST_CASE(two_lost_targets_make_their_failure_domain_the_last_choice)
{
    relay_world world{relay::request_kind::safe};
    world.list_targets(9);
    // Domain a has t-0, t-3 and t-6.
    std::set<std::string> lost;
    for (std::uint64_t caller = 1; lost.size() < 2; ++caller) {
        world.submit(caller);
        const std::string target = world.opened().target.str();
        if ((target.back() - '0') % 3 == 0) {
            world.lose();
            lost.insert(target);
        }
    }
    for (std::uint64_t caller = 101; caller <= 108; ++caller) {
        world.submit(caller);
        BOOST_TEST((world.opened().target.str().back() - '0') % 3 != 0);
    }
}

BOOST_AUTO_TEST_CASE(work_is_spread_over_targets)
{
    relay_world world;
    world.list_targets(12);
    std::set<std::string> used;
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
        world.submit(caller);
        used.insert(world.opened().target.str());
    }
    BOOST_TEST(used.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(the_engine_with_least_work_is_chosen_and_the_baseline_takes_turns)
{
    const relay::target_record first = relay_world::target(0);
    const relay::target_record second = relay_world::target(1);
    const relay::own_work busy{2, 5000, 0};
    const relay::own_work idle{};
    const std::vector<relay::candidate> candidates{{&first, &busy, 0.0, nullptr},
                                                   {&second, &idle, 0.5, nullptr}};
    relay::least_work_chooser least{relay::placement_settings{}};
    relay::round_robin_chooser turns;
    const core::failure_domain_name home{"a"};
    BOOST_TEST(least.choose(candidates, home) == 1U);
    BOOST_TEST(turns.choose(candidates, home) == 0U);
    BOOST_TEST(turns.choose(candidates, home) == 1U);
}
