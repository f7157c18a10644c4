#include "relay/silence_policy.hpp"

#include <rapidcheck/boost_test.h>

#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using relay::run_listing;
using relay::run_progress;
using relay::silence_cause;
using test::relay_fixture;

namespace {

constexpr core::duration pause_goal = 700ms;
/// Time limit of a question to a target: the fraction of the pause goal in request_settings.
constexpr core::duration question_limit = 105ms;

relay::silence_evidence evidence_of(const run_progress& progress, std::uint32_t waiting = 0,
                                    std::optional<core::duration> age = 5s,
                                    core::duration answer_delay = 1ms)
{
    return relay::silence_evidence{3, age, false, waiting, progress, answer_delay};
}

std::size_t closed(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::close_attempt>(fixture.to_targets);
}

} // namespace

// Guards against a stream that waits until its time limit on a connection that carries nothing more
// while its target answers over new ones.
BOOST_AUTO_TEST_CASE(stream_goes_on_elsewhere_if_its_target_has_made_more_than_arrived)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(3);
    fixture.progress = [](const relay::ask_target&) {
        return run_progress{run_listing::present, 9};
    };
    fixture.advance(pause_goal + question_limit);
    BOOST_TEST(closed(fixture) >= 1U);
    BOOST_TEST(fixture.last_attempt().attempt.number.value() >= 2U);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "3");
}

BOOST_AUTO_TEST_CASE(stream_goes_on_elsewhere_if_its_target_no_longer_has_the_run)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.progress = [](const relay::ask_target&) { return run_progress{run_listing::absent}; };
    for (int event = 1; event <= 12; ++event) {
        fixture.stream_to(event);
        fixture.advance(100ms);
    }
    BOOST_TEST(closed(fixture) == 0U);
    fixture.advance(pause_goal + question_limit - 100ms);
    BOOST_TEST(closed(fixture) >= 1U);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "12");
}

// Guards against requests that are taken from engine to engine while their prompts are read.
BOOST_AUTO_TEST_CASE(request_without_an_event_yet_stays_though_its_target_lists_no_run)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.progress = [](const relay::ask_target&) { return run_progress{run_listing::absent}; };
    fixture.advance(5s);
    BOOST_TEST(closed(fixture) == 0U);
}

BOOST_AUTO_TEST_CASE(request_without_an_event_goes_on_elsewhere_if_its_target_has_made_some)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.progress = [](const relay::ask_target&) {
        return run_progress{run_listing::present, 2};
    };
    fixture.advance(2s);
    BOOST_TEST(closed(fixture) >= 1U);
}

BOOST_AUTO_TEST_CASE(stream_of_a_slow_target_stays_there)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(3);
    fixture.progress = [](const relay::ask_target&) {
        return run_progress{run_listing::present, 3};
    };
    fixture.advance(5s);
    BOOST_TEST(closed(fixture) == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_stays_on_its_connection)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    fixture.submit(1);
    fixture.progress = [](const relay::ask_target&) { return run_progress{run_listing::absent}; };
    fixture.advance(5s);
    BOOST_TEST(closed(fixture) == 0U);
}

// Guards against a second run beside the one of a sound target whose process is paused.
BOOST_AUTO_TEST_CASE(stream_of_a_paused_target_whose_machine_accepts_connections_stays_for_a_second)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(3);
    fixture.targets_answer = false;
    fixture.targets_reachable = true;
    fixture.advance(1s);
    BOOST_TEST(closed(fixture) == 0U);
    fixture.stream_to(4);
    fixture.advance(200ms);
    BOOST_TEST(fixture.last_attempt().attempt.number.value() == 1U);
    // The process never comes back.
    fixture.advance(1300ms);
    BOOST_TEST(closed(fixture) == 1U);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "4");
}

BOOST_AUTO_TEST_CASE(stream_of_an_unreachable_target_moves_within_the_pause_goal)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(3);
    fixture.targets_answer = false;
    fixture.advance(400ms);
    BOOST_TEST(closed(fixture) == 1U);
}

BOOST_AUTO_TEST_CASE(a_run_that_may_be_in_the_queue_or_is_too_new_for_the_report_is_not_lost)
{
    const relay::progress_silence_policy policy;
    const run_progress absent{run_listing::absent};
    BOOST_TEST((policy.explain(evidence_of(absent)) == silence_cause::lost_channel));
    BOOST_TEST((policy.explain(evidence_of(absent, 1)) == silence_cause::slow_target));
    BOOST_TEST((policy.explain(evidence_of(absent, 0, 1s)) == silence_cause::slow_target));
    BOOST_TEST((policy.explain(evidence_of({})) == silence_cause::slow_target));
    // Its prompt may still be read: a target lists the runs that have made an event.
    BOOST_TEST(
        (policy.explain(evidence_of(absent, 0, std::nullopt)) == silence_cause::slow_target));
}

// Guards against a second run of a stream whose events follow the late report of a paused target.
BOOST_AUTO_TEST_CASE(a_target_that_answers_late_may_still_send_what_it_has_made)
{
    const relay::progress_silence_policy policy;
    const run_progress ahead{run_listing::present, 9};
    BOOST_TEST((policy.explain(evidence_of(ahead)) == silence_cause::lost_channel));
    BOOST_TEST((policy.explain(evidence_of(ahead, 0, 5s, 600ms)) == silence_cause::slow_target));
}

BOOST_AUTO_TEST_CASE(a_run_of_another_incarnation_is_lost)
{
    const relay::progress_silence_policy policy;
    const relay::silence_evidence evidence{3, 100ms, true, 1, {}, 1ms};
    BOOST_TEST((policy.explain(evidence) == silence_cause::lost_channel));
    BOOST_TEST((relay::trusting_silence_policy{}.explain(evidence) == silence_cause::slow_target));
}

RC_BOOST_PROP(a_target_that_has_made_no_more_than_arrived_keeps_its_run,
              (std::uint32_t received, std::uint32_t missing, std::uint32_t waiting,
               std::uint16_t age_ms))
{
    const std::uint64_t made = received - std::min(received, missing);
    const relay::silence_evidence evidence{
        received, std::chrono::milliseconds{age_ms},        false,
        waiting,  run_progress{run_listing::present, made}, 1ms};
    RC_ASSERT(relay::progress_silence_policy{}.explain(evidence) == silence_cause::slow_target);
}

// A target makes an event every few milliseconds and reports with a delay. From some event on its
// connection carries nothing more.
RC_BOOST_PROP(no_stream_waits_longer_for_a_silent_connection_than_its_pause_goal_and_one_question,
              ())
{
    const int event_ms = *rc::gen::inRange(10, 120);
    const int delay_ms = *rc::gen::inRange(0, 300);
    const int received = *rc::gen::inRange(1, 20);
    relay_fixture fixture;
    fixture.submit(1);
    const std::uint64_t first = fixture.last_attempt().attempt.number.value();
    int passed_ms = 0;
    fixture.progress = [&](const relay::ask_target&) {
        const int reported_ms = std::max(0, passed_ms - delay_ms);
        return run_progress{run_listing::present,
                            static_cast<std::uint64_t>(1 + reported_ms / event_ms)};
    };
    for (int event = 1; event < received; ++event) {
        fixture.stream_to(event);
        for (int i = 0; i < event_ms; ++i, ++passed_ms) {
            fixture.advance(1ms);
        }
    }
    fixture.stream_to(received);
    RC_ASSERT(fixture.last_attempt().attempt.number.value() == first);
    const int end_ms = passed_ms + static_cast<int>((pause_goal + question_limit) / 1ms);
    while (passed_ms < end_ms && closed(fixture) == 0) {
        ++passed_ms;
        fixture.advance(1ms);
    }
    RC_ASSERT(closed(fixture) == 1U);
    RC_ASSERT(fixture.last_attempt().last_event == std::to_string(received));
}
