#include "relay/world.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_world;

namespace {

const core::failure& refusal(const relay_world& world)
{
    const auto* refused = relay_world::find_last<relay::answer_refused>(world.to_entries);
    BOOST_REQUIRE(refused != nullptr);
    return refused->reason;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_unsafe_request_that_was_sent_and_lost_is_not_said_not_to_have_run)
{
    relay_world world{relay::request_kind::unsafe};
    world.submit(1);
    world.lose(true);
    BOOST_TEST(relay_world::count<relay::open_attempt>(world.to_targets) == 1U);
    BOOST_TEST(!refusal(world).not_run);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_that_never_left_goes_to_another_target)
{
    relay_world world{relay::request_kind::unsafe};
    world.submit(1);
    const std::string first = world.opened().target.str();
    world.lose(false);
    BOOST_TEST(world.opened().target.str() != first);
    BOOST_TEST(world.opened().attempt.number.value() == 2U);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_that_no_target_received_is_truly_refused)
{
    relay_world world{relay::request_kind::unsafe};
    world.submit(1);
    while (world.open_requests() > 0) {
        world.lose(false);
    }
    BOOST_TEST(refusal(world).not_run);
    BOOST_TEST((refusal(world).retry_after > core::duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_rejected_unsafe_request_may_be_offered_again_and_is_refused_truly)
{
    relay_world world{relay::request_kind::unsafe};
    world.submit(1);
    while (world.open_requests() > 0) {
        world.handle(relay::attempt_rejected{world.opened().attempt, 503, false});
    }
    BOOST_TEST(refusal(world).not_run);
    BOOST_TEST(relay_world::count<relay::open_attempt>(world.to_targets) == 4U);
}

BOOST_AUTO_TEST_CASE(a_request_at_a_target_when_its_time_is_up_fails_without_a_promise)
{
    relay_world world{relay::request_kind::unsafe};
    world.submit(1);
    world.pass(20001ms);
    BOOST_TEST(!refusal(world).not_run);
    BOOST_TEST(relay_world::count<relay::close_attempt>(world.to_targets) == 1U);
}

BOOST_AUTO_TEST_CASE(a_failure_of_a_safe_request_is_replaced_while_runs_are_left)
{
    relay_world world{relay::request_kind::safe};
    world.submit(1);
    for (int run = 0; run < 3; ++run) {
        BOOST_REQUIRE(world.open_requests() == 1U);
        world.handle(relay::attempt_answered{world.opened().attempt,
                                             relay::answer_head{500, {{"seal", "s"}}}, "no"});
    }
    const auto* whole = relay_world::find_last<relay::answer_whole>(world.to_entries);
    BOOST_REQUIRE(whole != nullptr);
    BOOST_TEST(whole->head.status == 500);
    BOOST_TEST(relay_world::count<relay::open_attempt>(world.to_targets) == 3U);
}

BOOST_AUTO_TEST_CASE(no_silent_safe_request_runs_on_more_targets_than_its_route_allows)
{
    relay_world world{relay::request_kind::safe};
    world.submit(1);
    world.pass(20001ms);
    BOOST_TEST(relay_world::count<relay::open_attempt>(world.to_targets) == 3U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_its_run)
{
    relay_world world;
    world.submit(1);
    world.handle(relay::caller_gone{relay::caller_id{1}});
    BOOST_TEST(relay_world::count<relay::close_attempt>(world.to_targets) == 1U);
    BOOST_TEST(world.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_keys_are_refused_by_the_newest_configuration_only)
{
    relay_world world;
    world.submit(1, "/other/");
    BOOST_TEST((refusal(world).kind == core::error_kind::not_found));
    world.submit(2, "/p/x", "stolen");
    BOOST_TEST((refusal(world).kind == core::error_kind::unauthenticated));
    world.apply_configuration(3, relay::request_kind::streaming, "key-2");
    world.apply_configuration(2, relay::request_kind::streaming, "key-1");
    world.submit(3, "/p/x", "key-1");
    BOOST_TEST((refusal(world).kind == core::error_kind::unauthenticated));
    world.submit(4, "/p/x", "key-2");
    BOOST_TEST(world.open_requests() == 1U);
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_ends_its_requests_first)
{
    relay_world world;
    world.submit(1);
    world.handle(relay::stop_requested{});
    BOOST_TEST(relay_world::count<relay::announce_member>(world.to_store) == 2U);
    world.stream_to(1);
    for (int event = 2; event < 15; ++event) {
        world.pass(200ms);
        world.stream_to(event);
    }
    BOOST_TEST(!world.ended);
    world.handle(relay::stream_finished{world.opened().attempt});
    world.pass(300ms);
    BOOST_TEST(world.ended);
}
