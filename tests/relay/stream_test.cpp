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
    BOOST_TEST(!opened.copy.has_value());
}

BOOST_AUTO_TEST_CASE(a_lost_stream_goes_on_at_its_standby_after_the_last_event)
{
    relay_world world;
    world.submit(1);
    const core::socket_address standby = *world.opened().standby;
    world.stream_to(12);
    world.lose();
    BOOST_TEST((world.opened().address == standby));
    BOOST_TEST(world.opened().copy.has_value());
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
    BOOST_TEST(!world.opened().copy.has_value());
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
    BOOST_TEST(world.opened().copy.has_value());
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

namespace {

/// A stream at its third event, in a fleet of six targets.
void begin_stream(relay_world& world)
{
    world.list_targets(6);
    world.submit(1);
    world.stream_to(3);
}

/// @return name of the target that the stream's copies go to at first
core::target_name first_standby(const relay_world& world)
{
    for (int i = 0; i < 6; ++i) {
        if (relay_world::target(i).address == *world.opened().standby) {
            return relay_world::target(i).name;
        }
    }
    return {};
}

const relay::copy_run& last_copy(const relay_world& world)
{
    const auto* found = relay_world::find_last<relay::copy_run>(world.to_targets);
    BOOST_REQUIRE(found != nullptr);
    return *found;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_mirror_is_named_by_its_holder_and_the_request)
{
    relay_world world;
    world.submit(1);
    const core::socket_address standby = *world.opened().standby;
    world.stream_to(12);
    world.lose();
    BOOST_TEST((world.opened().copy == relay::run_copy{standby, "id-1"}));
}

BOOST_AUTO_TEST_CASE(a_stream_whose_standby_is_gone_is_copied_to_another_and_goes_on_there)
{
    relay_world world;
    begin_stream(world);
    const core::target_name gone = first_standby(world);
    const core::socket_address source = world.opened().address;
    world.handle(relay::targets_listed{false, {}, {gone}});
    const relay::copy_run copied = last_copy(world);
    BOOST_TEST((copied.source == source));
    BOOST_TEST(copied.request == "id-1");
    BOOST_TEST((copied.standby != gone));
    world.handle(relay::run_copied{copied.attempt, copied.standby, relay::run_copy{source, "h7"}});
    world.lose();
    BOOST_TEST((world.opened().target == copied.standby));
    BOOST_TEST((world.opened().copy == relay::run_copy{source, "h7"}));
}

BOOST_AUTO_TEST_CASE(a_copy_is_renewed_before_its_holder_drops_it)
{
    relay_world world;
    begin_stream(world);
    world.handle(relay::targets_listed{false, {}, {first_standby(world)}});
    const relay::copy_run copied = last_copy(world);
    world.handle(
        relay::run_copied{copied.attempt, copied.standby, relay::run_copy{copied.source, "h7"}});
    world.pass(2399ms);
    BOOST_TEST(relay_world::count<relay::copy_run>(world.to_targets) == 1U);
    world.pass(1ms);
    BOOST_TEST(relay_world::count<relay::copy_run>(world.to_targets) == 2U);
    BOOST_TEST((last_copy(world).standby == copied.standby));
}

BOOST_AUTO_TEST_CASE(a_copy_that_fails_is_tried_elsewhere_after_a_pause)
{
    relay_world world;
    begin_stream(world);
    world.handle(relay::targets_listed{false, {}, {first_standby(world)}});
    const relay::copy_run copied = last_copy(world);
    world.handle(relay::run_copied{copied.attempt, copied.standby, std::nullopt});
    world.lose();
    BOOST_TEST(!world.opened().copy.has_value());
    relay_world second;
    begin_stream(second);
    second.handle(relay::targets_listed{false, {}, {first_standby(second)}});
    second.handle(
        relay::run_copied{last_copy(second).attempt, last_copy(second).standby, std::nullopt});
    second.pass(500ms);
    BOOST_TEST(relay_world::count<relay::copy_run>(second.to_targets) == 2U);
}

BOOST_AUTO_TEST_CASE(a_leaving_standby_is_replaced_while_it_still_holds_its_copy)
{
    relay_world world;
    begin_stream(world);
    const core::target_name leaving = first_standby(world);
    for (int i = 0; i < 6; ++i) {
        if (relay_world::target(i).name == leaving) {
            world.handle(relay::targets_listed{false, {relay_world::target(i, true)}, {}});
        }
    }
    BOOST_TEST((last_copy(world).standby != leaving));
}

BOOST_AUTO_TEST_CASE(what_has_not_begun_to_run_is_not_copied)
{
    relay_world world;
    world.list_targets(6);
    world.submit(1);
    world.handle(relay::targets_listed{false, {}, {first_standby(world)}});
    BOOST_TEST(relay_world::count<relay::copy_run>(world.to_targets) == 0U);
    world.stream_to(1);
    world.pass(500ms);
    BOOST_TEST(relay_world::count<relay::copy_run>(world.to_targets) == 1U);
}

BOOST_AUTO_TEST_CASE(a_copy_is_freed_when_its_stream_ends)
{
    relay_world world;
    begin_stream(world);
    world.handle(relay::targets_listed{false, {}, {first_standby(world)}});
    const relay::copy_run copied = last_copy(world);
    const relay::run_copy copy{copied.source, "h7"};
    world.handle(relay::run_copied{copied.attempt, copied.standby, copy});
    world.handle(relay::stream_finished{copied.attempt});
    const auto* freed = relay_world::find_last<relay::free_copy>(world.to_targets);
    BOOST_REQUIRE(freed != nullptr);
    BOOST_TEST((freed->copy == copy));
}

BOOST_AUTO_TEST_CASE(a_copy_that_a_stream_goes_on_from_is_not_freed)
{
    relay_world world;
    begin_stream(world);
    world.handle(relay::targets_listed{false, {}, {first_standby(world)}});
    const relay::copy_run copied = last_copy(world);
    world.handle(
        relay::run_copied{copied.attempt, copied.standby, relay::run_copy{copied.source, "h7"}});
    world.lose();
    world.stream_to(4);
    world.handle(relay::stream_finished{world.opened().attempt});
    BOOST_TEST(relay_world::count<relay::free_copy>(world.to_targets) == 0U);
}
