#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

BOOST_AUTO_TEST_CASE(stream_gets_a_standby_in_another_failure_domain)
{
    relay_fixture fixture;
    fixture.submit(1);
    const relay::open_attempt& opened = fixture.last_attempt();
    BOOST_REQUIRE(opened.standby.has_value());
    BOOST_TEST((*opened.standby != opened.address));
    BOOST_TEST(!opened.copy.has_value());
}

BOOST_AUTO_TEST_CASE(lost_stream_resumes_at_its_standby_after_the_last_event)
{
    relay_fixture fixture;
    fixture.submit(1);
    const core::socket_address standby = *fixture.last_attempt().standby;
    fixture.stream_to(12);
    fixture.lose_attempt();
    BOOST_TEST((fixture.last_attempt().address == standby));
    BOOST_TEST(fixture.last_attempt().copy.has_value());
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "12");
    fixture.stream_to(13);
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    BOOST_TEST(relay_fixture::count<relay::answer_begun>(fixture.to_entries) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 1U);
    BOOST_TEST(fixture.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(stream_resumes_without_a_copy_if_the_standby_rejects_it)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(12);
    fixture.lose_attempt();
    fixture.handle(relay::attempt_rejected{fixture.last_attempt().attempt, 503, false});
    BOOST_TEST(!fixture.last_attempt().copy.has_value());
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "12");
}

BOOST_AUTO_TEST_CASE(unresponsive_target_is_probed_before_its_attempt_is_closed)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(3);
    const std::size_t surveyed = relay_fixture::count<relay::ask_target>(fixture.to_targets);
    fixture.advance(281ms);
    BOOST_TEST(relay_fixture::count<relay::ask_target>(fixture.to_targets) == surveyed + 1);
    fixture.advance(200ms);
    BOOST_TEST(fixture.last_attempt().attempt.number.value() == 1U);
    fixture.targets_answer = false;
    fixture.advance(300ms);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(fixture.last_attempt().attempt.number.value() == 2U);
    BOOST_TEST(fixture.last_attempt().copy.has_value());
}

BOOST_AUTO_TEST_CASE(events_of_a_closed_attempt_are_dropped)
{
    relay_fixture fixture;
    fixture.submit(1);
    const relay::attempt_id first = fixture.last_attempt().attempt;
    fixture.stream_to(3);
    fixture.targets_answer = false;
    fixture.advance(400ms);
    BOOST_REQUIRE(fixture.last_attempt().attempt.number.value() == 2U);
    const std::size_t delivered = relay_fixture::count<relay::answer_events>(fixture.to_entries);
    fixture.handle(relay::stream_events{first, "id: 4\n\n", "4"});
    BOOST_TEST(relay_fixture::count<relay::answer_events>(fixture.to_entries) == delivered);
}

BOOST_AUTO_TEST_CASE(retry_prefers_another_failure_domain)
{
    relay_fixture fixture;
    fixture.list_targets(6);
    fixture.submit(1);
    const std::string lost = fixture.last_attempt().target.str();
    fixture.lose_attempt();
    // Targets are assigned to three failure domains in turn.
    const int apart = std::abs(fixture.last_attempt().target.str().back() - lost.back());
    BOOST_TEST(apart % 3 != 0);
}

BOOST_AUTO_TEST_CASE(stream_goes_to_the_engine_with_the_least_reported_load)
{
    relay_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.loads.emplace("t-" + std::to_string(i),
                              relay::reported_load{i == 1 ? 0U : 2U, 3, 20000, 50000, {}, false});
    }
    for (std::uint64_t caller = 1; caller <= 3; ++caller) {
        fixture.submit(caller);
        fixture.stream_to(1);
        BOOST_TEST(fixture.last_attempt().target.str() == "t-1");
        fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    }
}

BOOST_AUTO_TEST_CASE(engine_that_reports_another_incarnation_gets_no_stream)
{
    relay_fixture fixture;
    fixture.loads.emplace(
        "t-0",
        relay::reported_load{0, 0, 0, 50000, core::wall_time{std::chrono::milliseconds{9}}, false});
    for (std::uint64_t caller = 1; caller <= 6; ++caller) {
        fixture.submit(caller);
        BOOST_TEST(fixture.last_attempt().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(unresponsive_engines_get_no_stream)
{
    relay_fixture fixture;
    fixture.unresponsive_targets = {"t-0", "t-2"};
    fixture.submit(1);
    fixture.advance(26ms);
    BOOST_TEST(fixture.last_attempt().target.str() == "t-1");
}

BOOST_AUTO_TEST_CASE(request_retried_at_another_instance_reaches_the_same_engine)
{
    for (std::uint64_t caller = 1; caller <= 20; ++caller) {
        relay_fixture one;
        relay_fixture other;
        one.list_targets(12);
        other.list_targets(12);
        one.submit(caller);
        other.submit(caller);
        BOOST_TEST(one.last_attempt().target.str() == other.last_attempt().target.str());
    }
}

BOOST_AUTO_TEST_CASE(stream_is_cut_when_its_runs_are_used_up)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(1);
    for (int run = 0; run < 3; ++run) {
        fixture.lose_attempt();
    }
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 0U);
}

BOOST_AUTO_TEST_CASE(resumed_stream_has_no_standby_in_the_lost_failure_domain)
{
    relay_fixture fixture;
    fixture.list_targets(9);
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        fixture.submit(caller);
        const auto domain_of = [](const core::socket_address& address) {
            return (address.ip.back() - '1') % 3;
        };
        const int lost = domain_of(fixture.last_attempt().address);
        fixture.lose_attempt();
        BOOST_TEST(domain_of(fixture.last_attempt().address) != lost);
        BOOST_REQUIRE(fixture.last_attempt().standby.has_value());
        BOOST_TEST(domain_of(*fixture.last_attempt().standby) != lost);
        fixture.handle(relay::caller_gone{relay::caller_id{caller}});
        fixture.advance(2s);
    }
}

BOOST_AUTO_TEST_CASE(late_event_of_a_closed_attempt_does_not_change_the_resume_point)
{
    relay_fixture fixture;
    fixture.submit(1);
    const relay::attempt_id first = fixture.last_attempt().attempt;
    fixture.targets_answer = false;
    // No event arrives: the target is probed, its attempt is closed, other engines are surveyed.
    fixture.advance(1506ms);
    BOOST_REQUIRE(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    BOOST_REQUIRE(fixture.last_attempt().attempt == first);
    fixture.handle(relay::stream_events{first, "id: 4\n\n", "4"});
    fixture.handle(relay::attempt_lost{first, true, "late"});
    fixture.targets_answer = true;
    fixture.advance(30ms);
    BOOST_REQUIRE(fixture.last_attempt().attempt.number.value() == 2U);
    BOOST_TEST(!fixture.last_attempt().last_event.has_value());
}

namespace {

/// A stream at its third event, in a fleet of six targets.
void begin_stream(relay_fixture& fixture)
{
    fixture.list_targets(6);
    fixture.submit(1);
    fixture.stream_to(3);
}

/// @return name of the stream's first standby
core::target_name first_standby(const relay_fixture& fixture)
{
    for (int i = 0; i < 6; ++i) {
        if (relay_fixture::target(i).address == *fixture.last_attempt().standby) {
            return relay_fixture::target(i).name;
        }
    }
    return {};
}

const relay::copy_run& last_copy(const relay_fixture& fixture)
{
    const auto* found = relay_fixture::find_last<relay::copy_run>(fixture.to_targets);
    BOOST_REQUIRE(found != nullptr);
    return *found;
}

} // namespace

BOOST_AUTO_TEST_CASE(mirror_handle_consists_of_standby_address_and_request_id)
{
    relay_fixture fixture;
    fixture.submit(1);
    const core::socket_address standby = *fixture.last_attempt().standby;
    fixture.stream_to(12);
    fixture.lose_attempt();
    BOOST_TEST((fixture.last_attempt().copy == relay::run_copy{standby, "id-1"}));
}

BOOST_AUTO_TEST_CASE(stream_whose_standby_is_gone_is_copied_to_another_and_resumes_there)
{
    relay_fixture fixture;
    begin_stream(fixture);
    const core::target_name gone = first_standby(fixture);
    const core::socket_address source = fixture.last_attempt().address;
    fixture.handle(relay::targets_listed{false, {}, {gone}});
    const relay::copy_run copied = last_copy(fixture);
    BOOST_TEST((copied.source == source));
    BOOST_TEST(copied.request == "id-1");
    BOOST_TEST((copied.standby != gone));
    fixture.handle(
        relay::run_copied{copied.attempt, copied.standby, relay::run_copy{source, "h7"}});
    fixture.lose_attempt();
    BOOST_TEST((fixture.last_attempt().target == copied.standby));
    BOOST_TEST((fixture.last_attempt().copy == relay::run_copy{source, "h7"}));
}

BOOST_AUTO_TEST_CASE(copy_is_renewed_before_it_expires)
{
    relay_fixture fixture;
    begin_stream(fixture);
    fixture.handle(relay::targets_listed{false, {}, {first_standby(fixture)}});
    const relay::copy_run copied = last_copy(fixture);
    fixture.handle(
        relay::run_copied{copied.attempt, copied.standby, relay::run_copy{copied.source, "h7"}});
    fixture.advance(2399ms);
    BOOST_TEST(relay_fixture::count<relay::copy_run>(fixture.to_targets) == 1U);
    fixture.advance(1ms);
    BOOST_TEST(relay_fixture::count<relay::copy_run>(fixture.to_targets) == 2U);
    BOOST_TEST((last_copy(fixture).standby == copied.standby));
}

BOOST_AUTO_TEST_CASE(failed_copy_is_not_used_and_is_retried_after_a_delay)
{
    relay_fixture fixture;
    begin_stream(fixture);
    fixture.handle(relay::targets_listed{false, {}, {first_standby(fixture)}});
    const relay::copy_run copied = last_copy(fixture);
    fixture.handle(relay::run_copied{copied.attempt, copied.standby, std::nullopt});
    fixture.lose_attempt();
    BOOST_TEST(!fixture.last_attempt().copy.has_value());
    relay_fixture second;
    begin_stream(second);
    second.handle(relay::targets_listed{false, {}, {first_standby(second)}});
    second.handle(
        relay::run_copied{last_copy(second).attempt, last_copy(second).standby, std::nullopt});
    second.advance(500ms);
    BOOST_TEST(relay_fixture::count<relay::copy_run>(second.to_targets) == 2U);
}

BOOST_AUTO_TEST_CASE(leaving_standby_is_replaced)
{
    relay_fixture fixture;
    begin_stream(fixture);
    const core::target_name leaving = first_standby(fixture);
    for (int i = 0; i < 6; ++i) {
        if (relay_fixture::target(i).name == leaving) {
            fixture.handle(relay::targets_listed{false, {relay_fixture::target(i, true)}, {}});
        }
    }
    BOOST_TEST((last_copy(fixture).standby != leaving));
}

BOOST_AUTO_TEST_CASE(request_that_has_not_started_to_run_is_not_copied)
{
    relay_fixture fixture;
    fixture.list_targets(6);
    fixture.submit(1);
    fixture.handle(relay::targets_listed{false, {}, {first_standby(fixture)}});
    BOOST_TEST(relay_fixture::count<relay::copy_run>(fixture.to_targets) == 0U);
    fixture.stream_to(1);
    fixture.advance(500ms);
    BOOST_TEST(relay_fixture::count<relay::copy_run>(fixture.to_targets) == 1U);
}

BOOST_AUTO_TEST_CASE(copy_is_freed_when_its_stream_ends)
{
    relay_fixture fixture;
    begin_stream(fixture);
    fixture.handle(relay::targets_listed{false, {}, {first_standby(fixture)}});
    const relay::copy_run copied = last_copy(fixture);
    const relay::run_copy copy{copied.source, "h7"};
    fixture.handle(relay::run_copied{copied.attempt, copied.standby, copy});
    fixture.handle(relay::stream_finished{copied.attempt});
    const auto* freed = relay_fixture::find_last<relay::free_copy>(fixture.to_targets);
    BOOST_REQUIRE(freed != nullptr);
    BOOST_TEST((freed->copy == copy));
}

BOOST_AUTO_TEST_CASE(copy_used_for_a_resume_is_not_freed)
{
    relay_fixture fixture;
    begin_stream(fixture);
    fixture.handle(relay::targets_listed{false, {}, {first_standby(fixture)}});
    const relay::copy_run copied = last_copy(fixture);
    fixture.handle(
        relay::run_copied{copied.attempt, copied.standby, relay::run_copy{copied.source, "h7"}});
    fixture.lose_attempt();
    fixture.stream_to(4);
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    BOOST_TEST(relay_fixture::count<relay::free_copy>(fixture.to_targets) == 0U);
}

BOOST_AUTO_TEST_CASE(an_error_of_the_next_target_never_reaches_a_stream_that_has_begun)
{
    for (const int status : {200, 204, 302, 400, 404, 429, 500, 503}) {
        relay_fixture fixture;
        fixture.submit(1);
        fixture.stream_to(3);
        fixture.lose_attempt();
        fixture.advance(100ms);
        const std::size_t events = relay_fixture::count<relay::answer_events>(fixture.to_entries);
        fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                               relay::answer_head{status, {{"seal", "s"}}},
                                               "an error text"});
        fixture.advance(100ms);
        // A third target goes on after the last event that the caller has.
        BOOST_TEST(fixture.last_attempt().attempt.number.value() == 3U, "status " << status);
        BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "3");
        BOOST_TEST(relay_fixture::count<relay::answer_events>(fixture.to_entries) == events);
        BOOST_TEST(relay_fixture::count<relay::complete_answer>(fixture.to_entries) == 0U);
        fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                               relay::answer_head{status, {{"seal", "s"}}},
                                               "an error text"});
        // No run is left: the caller sees that the stream is not complete.
        BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 1U);
        BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 0U);
        BOOST_TEST(relay_fixture::count<relay::complete_answer>(fixture.to_entries) == 0U);
        BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_request_whose_surveys_nobody_answers_is_placed_without)
{
    relay_fixture fixture;
    fixture.list_targets(30);
    fixture.targets_answer = false;
    fixture.submit(1);
    fixture.advance(1s);
    // Three surveys of three targets, for 25, 50 and 100 ms.
    BOOST_TEST(relay_fixture::count<relay::ask_target>(fixture.to_targets) <= 10U);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(fixture.open_requests() == 1U);
}

BOOST_AUTO_TEST_CASE(a_slow_but_sound_stream_is_not_cut)
{
    relay_fixture fixture;
    fixture.submit(1);
    for (int event = 1; event <= 6; ++event) {
        // Far beyond the pause goal; the engine answers when it is asked.
        fixture.advance(2900ms);
        fixture.stream_to(event);
    }
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 1U);
}

BOOST_AUTO_TEST_CASE(a_stalled_stream_that_sends_a_heartbeat_now_and_then_ends_at_its_time_limit)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(1);
    for (int i = 0; i < 70 && fixture.open_requests() > 0; ++i) {
        fixture.advance(300ms);
        if (fixture.open_requests() > 0) {
            fixture.handle(relay::stream_events{fixture.last_attempt().attempt, ": ping\n\n", "1"});
        }
    }
    BOOST_TEST(fixture.open_requests() == 0U);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_though_the_record_of_its_target_is_missing_for_a_while)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.stream_to(1);
    const std::string running = fixture.last_attempt().target.str();
    // The list lost all records in an outage of the store; later they are back.
    fixture.handle(relay::targets_listed{true, {}, {}});
    fixture.stream_to(2);
    fixture.list_targets(3);
    fixture.stream_to(3);
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 0U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 1U);
}

namespace {

/// A stream at its first event whose target then sends nothing and answers no question.
void begin_silence(relay_fixture& fixture)
{
    fixture.stream_to(1);
    fixture.targets_answer = false;
}

/// The target of the only attempt goes on and completes the stream.
void check_completed_by_its_target(relay_fixture& fixture)
{
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 0U);
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 0U);
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 0U);
    fixture.stream_to(2);
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 1U);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_stream_without_runs_left_is_not_cut_while_its_target_is_silent)
{
    relay_fixture fixture;
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1", 1);
    fixture.submit(1);
    begin_silence(fixture);
    fixture.advance(1500ms);
    check_completed_by_its_target(fixture);
}

BOOST_AUTO_TEST_CASE(a_stream_without_retry_budget_is_not_cut_while_its_target_is_silent)
{
    relay_fixture fixture{relay::request_kind::streaming, relay::retry_settings{0, 0}};
    fixture.submit(1);
    begin_silence(fixture);
    fixture.advance(1500ms);
    check_completed_by_its_target(fixture);
}

BOOST_AUTO_TEST_CASE(a_request_without_runs_left_does_not_fail_before_its_first_event_arrives)
{
    relay_fixture fixture;
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1", 1);
    fixture.submit(1);
    fixture.targets_answer = false;
    // The first answer is due after 1400 ms.
    fixture.advance(3s);
    check_completed_by_its_target(fixture);
}

BOOST_AUTO_TEST_CASE(a_stream_moves_from_a_silent_target_as_soon_as_the_retry_budget_allows)
{
    relay_fixture fixture{relay::request_kind::streaming,
                          relay::retry_settings{.ratio = 0.5, .slack = 0, .used_fraction = 1.0}};
    fixture.submit(1);
    begin_silence(fixture);
    fixture.advance(1s);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 1U);
    // More requests raise the budget.
    fixture.targets_answer = true;
    for (std::uint64_t caller = 2; caller <= 9; ++caller) {
        fixture.submit(caller);
    }
    fixture.targets_answer = false;
    fixture.advance(400ms);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 0U);
    BOOST_TEST(fixture.last_attempt().attempt.request.value() == 1U);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "1");
}

BOOST_AUTO_TEST_CASE(a_stream_whose_only_target_never_goes_on_is_cut_at_its_time_limit)
{
    relay_fixture fixture;
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1", 1);
    fixture.submit(1);
    begin_silence(fixture);
    const std::size_t asked = relay_fixture::count<relay::ask_target>(fixture.to_targets);
    fixture.advance(19900ms);
    BOOST_TEST(fixture.open_requests() == 1U);
    // At most one question in each pause limit of 280 ms.
    BOOST_TEST(relay_fixture::count<relay::ask_target>(fixture.to_targets) - asked <= 71U);
    fixture.advance(200ms);
    BOOST_TEST(fixture.open_requests() == 0U);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_silent_target_is_the_only_one_stays_there)
{
    relay_fixture fixture;
    fixture.list_targets(1);
    fixture.submit(1);
    begin_silence(fixture);
    fixture.advance(1500ms);
    check_completed_by_its_target(fixture);
}

BOOST_AUTO_TEST_CASE(a_safe_request_whose_slow_target_is_leaving_and_the_only_one_is_answered)
{
    relay_fixture fixture{relay::request_kind::safe};
    fixture.list_targets(1);
    fixture.submit(1);
    fixture.list_targets(1, true);
    // Safe requests are retried after 3200 ms.
    fixture.advance(5s);
    fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                           relay::answer_head{200, {{"seal", "s"}}}, "answer"});
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 0U);
    BOOST_TEST(relay_fixture::count<relay::complete_answer>(fixture.to_entries) == 1U);
}

BOOST_AUTO_TEST_CASE(a_stall_of_the_instance_is_not_taken_for_the_silence_of_all_targets)
{
    relay_fixture fixture;
    for (std::uint64_t caller = 1; caller <= 3; ++caller) {
        fixture.submit(caller);
        fixture.stream_to(1);
    }
    const std::size_t asked = relay_fixture::count<relay::ask_target>(fixture.to_targets);
    fixture.stall(600ms);
    BOOST_TEST(relay_fixture::count<relay::ask_target>(fixture.to_targets) == asked);
    // The events that arrived meanwhile are read.
    fixture.stream_to(2);
    fixture.advance(1ms);
    // Only the two streams without an event are in doubt.
    BOOST_TEST(relay_fixture::count<relay::ask_target>(fixture.to_targets) == asked + 2);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_left_a_silent_target_is_not_cut_because_others_are_full)
{
    relay_fixture fixture;
    fixture.list_targets(6);
    fixture.submit(1);
    begin_silence(fixture);
    fixture.advance(400ms);
    BOOST_REQUIRE(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    fixture.targets_answer = true;
    const std::size_t rejections = relay::request_settings{}.max_rejections + 2;
    for (std::size_t i = 0; i < rejections; ++i) {
        fixture.handle(relay::attempt_rejected{fixture.last_attempt().attempt, 503, false});
        fixture.advance(400ms);
    }
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 0U);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "1");
    fixture.stream_to(2);
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 1U);
}

BOOST_AUTO_TEST_CASE(a_safe_request_at_a_silent_target_moves_once_another_target_is_listed)
{
    relay_fixture fixture{relay::request_kind::safe};
    fixture.list_targets(1);
    fixture.submit(1);
    const auto attempts = [&] {
        return relay_fixture::count<relay::open_attempt>(fixture.to_targets);
    };
    fixture.advance(5s);
    BOOST_TEST(attempts() == 1U);
    fixture.list_targets(2);
    fixture.advance(5s);
    BOOST_TEST(attempts() > 1U);
}
