#include "relay/world.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_world;

BOOST_AUTO_TEST_CASE(a_stream_names_a_standby_in_another_failure_domain)
{
    relay_world world;
    world.submit(1);
    const relay::open_attempt& opened = world.opened();
    BOOST_REQUIRE(opened.standby.has_value());
    BOOST_TEST((*opened.standby != opened.address));
    BOOST_TEST(!opened.from_copy);
}

BOOST_AUTO_TEST_CASE(a_lost_stream_goes_on_at_its_standby_after_the_last_event)
{
    relay_world world;
    world.submit(1);
    const core::socket_address standby = *world.opened().standby;
    world.stream_to(12);
    world.lose();
    BOOST_TEST((world.opened().address == standby));
    BOOST_TEST(world.opened().from_copy);
    BOOST_TEST(world.opened().last_event.value_or("") == "12");
    world.stream_to(13);
    world.handle(relay::stream_finished{world.opened().attempt});
    BOOST_TEST(relay_world::count<relay::answer_begun>(world.to_entries) == 1U);
    BOOST_TEST(relay_world::count<relay::answer_finished>(world.to_entries) == 1U);
    BOOST_TEST(world.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(a_standby_without_a_copy_leads_to_a_run_from_the_last_event)
{
    relay_world world;
    world.submit(1);
    world.stream_to(12);
    world.lose();
    world.handle(relay::attempt_rejected{world.opened().attempt, 503, false});
    BOOST_TEST(!world.opened().from_copy);
    BOOST_TEST(world.opened().last_event.value_or("") == "12");
}

BOOST_AUTO_TEST_CASE(a_silent_target_is_asked_before_it_is_given_up)
{
    relay_world world;
    world.submit(1);
    world.stream_to(3);
    const std::size_t surveyed = relay_world::count<relay::ask_target>(world.to_targets);
    world.pass(281ms);
    BOOST_TEST(relay_world::count<relay::ask_target>(world.to_targets) == surveyed + 1);
    world.pass(200ms);
    BOOST_TEST(world.opened().attempt.number.value() == 1U);
    world.targets_answer = false;
    world.pass(300ms);
    BOOST_TEST(relay_world::count<relay::close_attempt>(world.to_targets) == 1U);
    BOOST_TEST(world.opened().attempt.number.value() == 2U);
    BOOST_TEST(world.opened().from_copy);
}

BOOST_AUTO_TEST_CASE(events_of_an_attempt_that_was_given_up_are_dropped)
{
    relay_world world;
    world.submit(1);
    const relay::attempt_id first = world.opened().attempt;
    world.stream_to(3);
    world.targets_answer = false;
    world.pass(400ms);
    BOOST_REQUIRE(world.opened().attempt.number.value() == 2U);
    const std::size_t delivered = relay_world::count<relay::answer_events>(world.to_entries);
    world.handle(relay::stream_events{first, "id: 4\n\n", "4"});
    BOOST_TEST(relay_world::count<relay::answer_events>(world.to_entries) == delivered);
}

BOOST_AUTO_TEST_CASE(a_retry_goes_to_another_failure_domain_first)
{
    relay_world world;
    world.list_targets(6);
    world.submit(1);
    const std::string lost = world.opened().target.str();
    world.lose();
    // Targets are in three failure domains by turns.
    const int apart = std::abs(world.opened().target.str().back() - lost.back());
    BOOST_TEST(apart % 3 != 0);
}

BOOST_AUTO_TEST_CASE(a_stream_goes_where_the_engine_says_that_it_has_least_work)
{
    relay_world world;
    for (int i = 0; i < 3; ++i) {
        world.loads.emplace("t-" + std::to_string(i),
                            relay::reported_load{i == 1 ? 0U : 2U, 3, 20000, 50000, {}, false});
    }
    for (std::uint64_t caller = 1; caller <= 3; ++caller) {
        world.submit(caller);
        world.stream_to(1);
        BOOST_TEST(world.opened().target.str() == "t-1");
        world.handle(relay::stream_finished{world.opened().attempt});
    }
}

BOOST_AUTO_TEST_CASE(an_engine_that_was_born_anew_is_not_the_one_that_is_listed)
{
    relay_world world;
    world.loads.emplace(
        "t-0",
        relay::reported_load{0, 0, 0, 50000, core::wall_time{std::chrono::milliseconds{9}}, false});
    for (std::uint64_t caller = 1; caller <= 6; ++caller) {
        world.submit(caller);
        BOOST_TEST(world.opened().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(engines_that_do_not_answer_get_no_stream)
{
    relay_world world;
    world.mute_targets = {"t-0", "t-2"};
    world.submit(1);
    world.pass(26ms);
    BOOST_TEST(world.opened().target.str() == "t-1");
}

BOOST_AUTO_TEST_CASE(a_request_that_comes_again_elsewhere_reaches_the_engine_that_read_its_prompt)
{
    for (std::uint64_t caller = 1; caller <= 20; ++caller) {
        relay_world one;
        relay_world other;
        one.list_targets(12);
        other.list_targets(12);
        one.submit(caller);
        other.submit(caller);
        BOOST_TEST(one.opened().target.str() == other.opened().target.str());
    }
}

BOOST_AUTO_TEST_CASE(a_stream_whose_runs_are_used_up_is_cut_not_completed)
{
    relay_world world;
    world.submit(1);
    world.stream_to(1);
    for (int run = 0; run < 3; ++run) {
        world.lose();
    }
    BOOST_TEST(relay_world::count<relay::answer_cut>(world.to_entries) == 1U);
    BOOST_TEST(relay_world::count<relay::answer_finished>(world.to_entries) == 0U);
}

BOOST_AUTO_TEST_CASE(no_standby_is_in_the_failure_domain_that_was_lost)
{
    relay_world world;
    world.list_targets(9);
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        world.submit(caller);
        const auto domain_of = [](const core::socket_address& address) {
            return (address.ip.back() - '1') % 3;
        };
        const int lost = domain_of(world.opened().address);
        world.lose();
        BOOST_TEST(domain_of(world.opened().address) != lost);
        BOOST_REQUIRE(world.opened().standby.has_value());
        BOOST_TEST(domain_of(*world.opened().standby) != lost);
        world.handle(relay::caller_gone{relay::caller_id{caller}});
        world.pass(2s);
    }
}

BOOST_AUTO_TEST_CASE(an_event_that_arrives_after_its_attempt_was_closed_moves_no_resume_point)
{
    relay_world world;
    world.submit(1);
    const relay::attempt_id first = world.opened().attempt;
    world.targets_answer = false;
    // Silent before the first event: asked, given up, and other engines are asked for their load.
    world.pass(1506ms);
    BOOST_REQUIRE(relay_world::count<relay::close_attempt>(world.to_targets) == 1U);
    BOOST_REQUIRE(world.opened().attempt == first);
    world.handle(relay::stream_events{first, "id: 4\n\n", "4"});
    world.handle(relay::attempt_lost{first, true, "late"});
    world.targets_answer = true;
    world.pass(30ms);
    BOOST_REQUIRE(world.opened().attempt.number.value() == 2U);
    BOOST_TEST(!world.opened().last_event.has_value());
}
