#include "generation/generation_manager.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"
#include "routing/fewest_open_chooser.hpp"

using namespace cyclamen;

namespace {

/// A generation manager with simulated time and recorded output.
struct fixture {
    core::manual_clock clock;
    routing::fewest_open_chooser chooser;
    test::recorded_output output;
    generation::generation_manager manager{{}, test::generation_chart(), chooser, output};

    fixture() { manager.configure(test::make_configuration()); }

    void request(std::uint64_t caller, std::uint32_t max_tokens, std::string key = {},
                 std::uint64_t held = 0)
    {
        manager.on_request(test::make_request(caller, max_tokens, std::move(key), held),
                           clock.now());
    }

    /// Passes tokens of an attempt to the manager; each token's text is its position.
    void tokens(std::size_t attempt, std::uint64_t first, std::uint64_t count)
    {
        std::vector<std::string> run;
        for (std::uint64_t i = 0; i < count; ++i) {
            run.push_back(" " + std::to_string(first + i));
        }
        manager.on_engine_event(api::attempt_tokens{output.opened.at(attempt).attempt, first, run},
                                clock.now());
    }

    void lose(std::size_t attempt)
    {
        manager.on_engine_event(api::attempt_lost{output.opened.at(attempt).attempt,
                                                  api::loss_kind::connection_lost, "reset"},
                                clock.now());
    }

    void finish(std::size_t attempt)
    {
        manager.on_engine_event(api::attempt_finished{output.opened.at(attempt).attempt},
                                clock.now());
    }

    /// Advances the time of a running instance: every timer fires at its deadline.
    void advance_time(core::duration time)
    {
        const core::instant end = clock.now() + time;
        while (manager.next_deadline().has_value() && *manager.next_deadline() <= end) {
            clock.advance(std::max(*manager.next_deadline() - clock.now(), core::duration::zero()));
            manager.on_timer(clock.now());
        }
        clock.advance(end - clock.now());
    }

    /// Advances the time while the instance is stalled: timers fire only at the end.
    void stall_instance(core::duration time)
    {
        clock.advance(time);
        manager.on_timer(clock.now());
    }

    void check_whole(std::uint64_t token_count) const
    {
        BOOST_TEST(output.in_order);
        BOOST_TEST(output.complete == 1);
        BOOST_REQUIRE(output.delivered.size() == token_count);
        for (std::uint64_t i = 0; i < token_count; ++i) {
            BOOST_TEST(output.delivered[i] == " " + std::to_string(i));
        }
    }
};

constexpr std::uint32_t length = 10;

} // namespace

BOOST_FIXTURE_TEST_CASE(a_complete_answer_without_failures, fixture)
{
    request(1, length);
    tokens(0, 0, 4);
    tokens(0, 4, 6);
    finish(0);
    check_whole(length);
    BOOST_TEST(manager.live_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_connection_reset_at_any_token_resumes_at_another_target)
{
    for (std::uint64_t held = 0; held < length; ++held) {
        fixture f;
        f.request(1, length);
        if (held > 0) {
            f.tokens(0, 0, held);
        }
        f.lose(0);
        BOOST_REQUIRE(f.output.opened.size() == 2U);
        const api::open_attempt& resumed = f.output.opened[1];
        BOOST_TEST(resumed.first == held);
        BOOST_TEST(resumed.max_tokens == length - held);
        BOOST_TEST((resumed.target != f.output.opened[0].target));
        f.tokens(1, held, length - held);
        f.finish(1);
        f.check_whole(length);
    }
}

BOOST_FIXTURE_TEST_CASE(a_connection_reset_after_the_last_token_opens_no_further_attempt, fixture)
{
    request(1, length);
    tokens(0, 0, length);
    lose(0);
    BOOST_TEST(output.opened.size() == 1U);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(a_generation_survives_the_loss_of_two_targets, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    lose(0);
    tokens(1, 3, 3);
    lose(1);
    BOOST_TEST(output.opened.at(2).prompt == "a prompt 0 1 2 3 4 5");
    tokens(2, 6, 4);
    finish(2);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(late_tokens_of_an_older_attempt_are_dropped, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    lose(0);
    tokens(0, 3, 2);
    finish(0);
    BOOST_TEST(output.delivered.size() == 3U);
    BOOST_TEST(output.complete == 0);
    tokens(1, 3, 7);
    finish(1);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(gaps_and_repeats_in_the_tokens_never_reach_the_caller, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    tokens(0, 1, 4);
    BOOST_TEST(output.delivered.size() == 5U);
    tokens(0, 7, 2);
    BOOST_TEST(output.cancelled.size() == 1U);
    BOOST_REQUIRE(output.opened.size() == 2U);
    tokens(1, 5, 5);
    finish(1);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(a_token_timeout_resumes_at_another_target, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    advance_time(std::chrono::seconds{2});
    BOOST_TEST(output.cancelled.size() == 1U);
    BOOST_REQUIRE(output.opened.size() == 2U);
    tokens(1, 3, 7);
    finish(1);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(an_overdue_stream_is_probed_before_it_is_abandoned, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    advance_time(std::chrono::milliseconds{900});
    BOOST_TEST(output.probed.size() == 1U);
    BOOST_TEST(output.cancelled.empty());
    BOOST_TEST(output.opened.size() == 1U);
    manager.on_engine_event(api::attempt_alive{output.opened[0].attempt}, clock.now());
    tokens(0, 3, 7);
    finish(0);
    BOOST_TEST(output.opened.size() == 1U);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_answers_probes_but_stalls_is_abandoned, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    advance_time(std::chrono::milliseconds{900});
    manager.on_engine_event(api::attempt_alive{output.opened[0].attempt}, clock.now());
    advance_time(std::chrono::milliseconds{1000});
    BOOST_TEST(output.opened.size() == 1U);
    advance_time(std::chrono::milliseconds{1000});
    BOOST_TEST(output.opened.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_probe_of_an_unknown_stream_resumes_at_another_target_at_once, fixture)
{
    request(1, length);
    advance_time(std::chrono::milliseconds{2100});
    BOOST_TEST(output.probed.size() == 1U);
    manager.on_engine_event(
        api::attempt_lost{output.opened[0].attempt, api::loss_kind::engine_error, "no such stream"},
        clock.now());
    BOOST_TEST(output.opened.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_stall_of_the_instance_itself_causes_no_token_timeout, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    stall_instance(std::chrono::seconds{5});
    BOOST_TEST(output.probed.empty());
    tokens(0, 3, 7);
    finish(0);
    check_whole(length);
}

BOOST_FIXTURE_TEST_CASE(a_caller_with_a_request_key_may_reconnect, fixture)
{
    request(1, length, "k");
    tokens(0, 0, 3);
    manager.on_caller_gone(core::caller_id{1}, clock.now());
    tokens(0, 3, 3);
    BOOST_TEST(output.cancelled.empty());
    request(2, length, "k", 3);
    advance_time(std::chrono::milliseconds{100});
    tokens(0, 6, 4);
    finish(0);
    check_whole(length);
    request(3, length, "other");
    manager.on_caller_gone(core::caller_id{3}, clock.now());
    advance_time(std::chrono::seconds{4});
    BOOST_TEST((output.cancelled.back().attempt == output.opened.back().attempt));
    BOOST_TEST(manager.live_count() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_generation_without_a_request_key_is_cancelled_when_its_caller_leaves,
                        fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    manager.on_caller_gone(core::caller_id{1}, clock.now());
    BOOST_TEST(output.cancelled.size() == 1U);
    BOOST_TEST(manager.live_count() == 0U);
    tokens(0, 3, 3);
    BOOST_TEST(output.delivered.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_repeated_request_with_the_same_key_joins_the_generation, fixture)
{
    request(1, length, "k");
    tokens(0, 0, 4);
    request(2, length, "k", 4);
    BOOST_TEST(output.opened.size() == 1U);
    tokens(0, 4, 6);
    finish(0);
    BOOST_TEST(output.complete == 2);
    request(3, length, "k");
    BOOST_TEST(output.complete == 3);
    BOOST_TEST(output.opened.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(refusals_before_any_attempt_are_marked_not_run, fixture)
{
    manager.on_request(api::generation_request{core::caller_id{1},
                                               "wrong",
                                               {},
                                               core::service_name{"notices"},
                                               "",
                                               1,
                                               true,
                                               0,
                                               std::chrono::seconds{1}},
                       clock.now());
    manager.on_request(api::generation_request{core::caller_id{2},
                                               "key",
                                               {},
                                               core::service_name{"unknown"},
                                               "",
                                               1,
                                               true,
                                               0,
                                               std::chrono::seconds{1}},
                       clock.now());
    request(3, length, "", 5);
    BOOST_REQUIRE(output.failures.size() == 3U);
    BOOST_TEST((output.failures[0].reason.kind == core::error_kind::unauthenticated));
    BOOST_TEST((output.failures[1].reason.kind == core::error_kind::not_found));
    BOOST_TEST((output.failures[2].reason.kind == core::error_kind::not_found));
    for (const api::answer_failed& failed : output.failures) {
        BOOST_TEST(failed.reason.not_run);
    }
}

BOOST_FIXTURE_TEST_CASE(the_number_of_attempts_is_bounded, fixture)
{
    request(1, length);
    for (std::size_t attempt = 0; attempt < output.opened.size(); ++attempt) {
        // Uses an engine error, because lost connections would quarantine the request.
        manager.on_engine_event(api::attempt_lost{output.opened.at(attempt).attempt,
                                                  api::loss_kind::engine_error, "status 500"},
                                clock.now());
    }
    BOOST_TEST(output.opened.size() == generation::generation_settings{}.max_attempts);
    BOOST_REQUIRE(output.failures.size() == 1U);
    BOOST_TEST(!output.failures[0].reason.not_run);
}

BOOST_FIXTURE_TEST_CASE(a_generation_without_a_target_fails_as_not_run, fixture)
{
    manager.configure(test::make_configuration(0));
    request(1, length);
    BOOST_TEST(output.failures.empty());
    advance_time(std::chrono::seconds{11});
    BOOST_REQUIRE(output.failures.size() == 1U);
    BOOST_TEST(output.failures[0].reason.not_run);
    BOOST_TEST(output.opened.empty());
}

BOOST_FIXTURE_TEST_CASE(finished_answers_are_dropped_after_their_retention_time, fixture)
{
    request(1, length, "k");
    tokens(0, 0, length);
    finish(0);
    advance_time(std::chrono::seconds{61});
    BOOST_TEST(!manager.next_deadline().has_value());
    request(2, length, "k");
    BOOST_TEST(output.opened.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_last_attempt_is_not_given_up_while_its_engine_is_silent, fixture)
{
    request(1, length);
    tokens(0, 0, 3);
    const std::size_t last = generation::generation_settings{}.max_attempts - 1;
    for (std::size_t attempt = 0; attempt < last; ++attempt) {
        manager.on_engine_event(api::attempt_lost{output.opened.at(attempt).attempt,
                                                  api::loss_kind::engine_error, "status 500"},
                                clock.now());
    }
    BOOST_REQUIRE(output.opened.size() == last + 1);
    advance_time(std::chrono::seconds{6});
    BOOST_TEST(output.failures.empty());
    BOOST_TEST(output.cancelled.empty());
    tokens(last, 3, 7);
    finish(last);
    check_whole(length);
}
