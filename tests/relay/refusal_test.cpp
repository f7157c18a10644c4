#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

const core::failure& refusal(const relay_fixture& fixture)
{
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    BOOST_REQUIRE(refused != nullptr);
    return refused->reason;
}

} // namespace

BOOST_AUTO_TEST_CASE(lost_unsafe_request_that_was_sent_is_not_reported_as_not_run)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    fixture.submit(1);
    fixture.lose_attempt(true);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(!refusal(fixture).not_run);
}

BOOST_AUTO_TEST_CASE(unsent_unsafe_request_is_retried_on_another_target)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    fixture.submit(1);
    const std::string first = fixture.last_attempt().target.str();
    fixture.lose_attempt(false);
    BOOST_TEST(fixture.last_attempt().target.str() != first);
    BOOST_TEST(fixture.last_attempt().attempt.number.value() == 2U);
}

BOOST_AUTO_TEST_CASE(unsafe_request_that_no_target_received_is_reported_as_not_run)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    fixture.submit(1);
    while (fixture.open_requests() > 0) {
        fixture.lose_attempt(false);
    }
    BOOST_TEST(refusal(fixture).not_run);
    BOOST_TEST((refusal(fixture).retry_after > core::duration::zero()));
}

BOOST_AUTO_TEST_CASE(rejected_unsafe_request_is_retried_and_then_reported_as_not_run)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    fixture.submit(1);
    while (fixture.open_requests() > 0) {
        fixture.handle(relay::attempt_rejected{fixture.last_attempt().attempt, 503, false});
    }
    BOOST_TEST(refusal(fixture).not_run);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 4U);
}

BOOST_AUTO_TEST_CASE(request_that_times_out_at_a_target_is_not_reported_as_not_run)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    fixture.submit(1);
    fixture.advance(20001ms);
    BOOST_TEST(!refusal(fixture).not_run);
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
}

BOOST_AUTO_TEST_CASE(failed_safe_request_is_retried_until_its_runs_are_used_up)
{
    relay_fixture fixture{relay::request_kind::safe};
    fixture.submit(1);
    for (int run = 0; run < 3; ++run) {
        BOOST_REQUIRE(fixture.open_requests() == 1U);
        fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                               relay::answer_head{500, {{"seal", "s"}}}, "no"});
    }
    const auto* whole = relay_fixture::find_last<relay::complete_answer>(fixture.to_entries);
    BOOST_REQUIRE(whole != nullptr);
    BOOST_TEST(whole->head.status == 500);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 3U);
}

BOOST_AUTO_TEST_CASE(unanswered_safe_request_runs_on_no_more_targets_than_its_route_allows)
{
    relay_fixture fixture{relay::request_kind::safe};
    fixture.submit(1);
    fixture.advance(20001ms);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 3U);
}

BOOST_AUTO_TEST_CASE(attempt_is_closed_when_its_caller_disconnects)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.handle(relay::caller_gone{relay::caller_id{1}});
    BOOST_TEST(relay_fixture::count<relay::close_attempt>(fixture.to_targets) == 1U);
    BOOST_TEST(fixture.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(routes_and_keys_are_checked_against_the_newest_revision)
{
    relay_fixture fixture;
    fixture.submit(1, "/other/");
    BOOST_TEST((refusal(fixture).kind == core::error_kind::not_found));
    fixture.submit(2, "/p/x", "stolen");
    BOOST_TEST((refusal(fixture).kind == core::error_kind::unauthenticated));
    fixture.apply_configuration(3, relay::request_kind::streaming, "key-2");
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1");
    fixture.submit(3, "/p/x", "key-1");
    BOOST_TEST((refusal(fixture).kind == core::error_kind::unauthenticated));
    fixture.submit(4, "/p/x", "key-2");
    BOOST_TEST(fixture.open_requests() == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_instance_finishes_its_requests_before_it_ends)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.handle(relay::stop_requested{});
    BOOST_TEST(relay_fixture::count<relay::announce_member>(fixture.to_store) == 2U);
    fixture.stream_to(1);
    for (int event = 2; event < 15; ++event) {
        fixture.advance(200ms);
        fixture.stream_to(event);
    }
    BOOST_TEST(!fixture.ended);
    fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    fixture.advance(300ms);
    BOOST_TEST(fixture.ended);
}

BOOST_AUTO_TEST_CASE(
    leaving_instance_does_not_end_while_callers_have_requests_or_answers_on_their_way)
{
    relay_fixture fixture;
    fixture.entry_busy = true;
    fixture.handle(relay::stop_requested{});
    fixture.advance(3s);
    BOOST_TEST(!fixture.ended);
    fixture.handle(relay::entry_state{false});
    fixture.advance(300ms);
    BOOST_TEST(fixture.ended);
}
