#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

constexpr std::uint64_t memory = 50000;

/// All engines report the same load.
void report(relay_fixture& fixture, std::uint32_t waiting, std::uint32_t running,
            std::uint64_t memory_used)
{
    fixture.loads.clear();
    for (int i = 0; i < 3; ++i) {
        fixture.loads.emplace(
            "t-" + std::to_string(i),
            relay::reported_load{waiting, running, memory_used, memory, {}, false});
    }
}

std::size_t refusals(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::answer_refused>(fixture.to_entries);
}

std::size_t attempts(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::open_attempt>(fixture.to_targets);
}

} // namespace

BOOST_AUTO_TEST_CASE(one_stream_waits_for_room_and_others_are_refused_at_once)
{
    relay_fixture fixture;
    report(fixture, 0, 9, memory - 2000);
    fixture.submit(1);
    BOOST_TEST(attempts(fixture) == 0U);
    BOOST_TEST(refusals(fixture) == 0U);
    fixture.submit(2);
    BOOST_REQUIRE(refusals(fixture) == 1U);
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    BOOST_TEST(refused->caller.value() == 2U);
    BOOST_TEST(refused->reason.not_run);
    BOOST_TEST((refused->reason.kind == core::error_kind::overloaded));
    BOOST_TEST((refused->reason.retry_after >= 2s));
    // A run has ended.
    report(fixture, 0, 8, memory - 20000);
    fixture.advance(150ms);
    BOOST_TEST(attempts(fixture) == 1U);
    BOOST_TEST(refusals(fixture) == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_finds_no_room_in_time_is_refused_and_its_place_is_free)
{
    relay_fixture fixture;
    report(fixture, 0, 9, memory - 2000);
    fixture.submit(1);
    fixture.advance(1500ms);
    BOOST_TEST(refusals(fixture) == 1U);
    fixture.submit(2);
    BOOST_TEST(refusals(fixture) == 1U);
    BOOST_TEST(fixture.open_requests() == 1U);
}

BOOST_AUTO_TEST_CASE(the_place_of_a_waiting_stream_is_free_when_its_caller_disconnects)
{
    relay_fixture fixture;
    report(fixture, 0, 9, memory - 2000);
    fixture.submit(1);
    fixture.handle(relay::caller_gone{relay::caller_id{1}});
    fixture.submit(2);
    BOOST_TEST(refusals(fixture) == 0U);
    BOOST_TEST(fixture.open_requests() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_has_begun_goes_on_though_the_engines_are_full)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(3);
    report(fixture, 4, 9, memory - 100);
    fixture.lose_attempt();
    fixture.advance(100ms);
    BOOST_TEST(attempts(fixture) == 2U);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "3");
}

BOOST_AUTO_TEST_CASE(a_stream_that_a_target_may_have_run_is_not_refused_as_not_run)
{
    relay_fixture fixture;
    fixture.submit(1);
    report(fixture, 4, 9, memory - 100);
    fixture.lose_attempt();
    fixture.advance(100ms);
    BOOST_TEST(attempts(fixture) == 2U);
    BOOST_TEST(refusals(fixture) == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_gets_no_standby_on_engines_that_are_short_of_memory)
{
    relay_fixture fixture;
    report(fixture, 0, 4, memory * 7 / 10);
    fixture.submit(1);
    BOOST_TEST(attempts(fixture) == 1U);
    BOOST_TEST(!fixture.last_attempt().standby.has_value());
    report(fixture, 0, 1, memory / 10);
    fixture.submit(2);
    BOOST_TEST(fixture.last_attempt().standby.has_value());
}

BOOST_AUTO_TEST_CASE(one_full_engine_among_idle_ones_costs_no_stream_its_standby)
{
    for (int full = 0; full < 3; ++full) {
        relay_fixture fixture;
        report(fixture, 0, 1, memory / 10);
        const std::string name = "t-" + std::to_string(full);
        fixture.loads.erase(name);
        fixture.loads.emplace(name, relay::reported_load{0, 7, memory * 8 / 10, memory, {}, false});
        fixture.submit(1);
        BOOST_TEST(fixture.last_attempt().standby.has_value(), name);
    }
}
