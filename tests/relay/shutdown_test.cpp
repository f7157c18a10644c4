#include <rapidcheck/boost_test.h>

#include "test_fixture.hpp"

using namespace cyclamen;
using cyclamen::test::relay_fixture;
using namespace std::chrono_literals;

namespace {

/// Time in which the instance must have ended after a stop was ordered.
const core::duration drain_limit = relay::entry_lifecycle_settings{}.drain_limit;

/// Submits a request that must be answered within a time limit.
void submit(relay_fixture& fixture, std::uint64_t caller, core::duration limit)
{
    fixture.handle(
        relay::submission{relay::caller_id{caller},
                          std::make_shared<const relay::opaque_request>(relay::opaque_request{
                              "id-" + std::to_string(caller), "POST", "/p/x", "host", {}, "body"}),
                          limit, "key-1", 5000, 0, "part", std::nullopt});
}

[[nodiscard]] std::size_t attempts(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::open_attempt>(fixture.to_targets);
}

/// @return the failure that a caller received, null if there was none
[[nodiscard]] const core::failure* failure_of(const relay_fixture& fixture, std::uint64_t caller)
{
    for (const auto& sent : fixture.to_entries) {
        const auto* refused = std::get_if<relay::answer_refused>(sent.get());
        if (refused != nullptr && refused->caller == relay::caller_id{caller}) {
            return &refused->reason;
        }
    }
    return nullptr;
}

/// @return number of commands that end a caller's response
[[nodiscard]] std::size_t responses_to(const relay_fixture& fixture, std::uint64_t caller)
{
    const relay::caller_id wanted{caller};
    return static_cast<std::size_t>(
        std::count_if(fixture.to_entries.begin(), fixture.to_entries.end(), [&](const auto& sent) {
            const auto* refused = std::get_if<relay::answer_refused>(sent.get());
            const auto* complete = std::get_if<relay::complete_answer>(sent.get());
            return (refused != nullptr && refused->caller == wanted) ||
                   (complete != nullptr && complete->caller == wanted);
        }));
}

} // namespace

BOOST_AUTO_TEST_CASE(leaving_instance_passes_on_no_request_that_might_outlast_it)
{
    for (const auto kind : {relay::request_kind::unsafe, relay::request_kind::safe}) {
        relay_fixture fixture{kind};
        fixture.handle(relay::stop_requested{});
        fixture.advance(1s);
        submit(fixture, 1, 2s);
        BOOST_TEST(attempts(fixture) == 1U);
        fixture.advance(5s);
        submit(fixture, 2, 2s);
        BOOST_TEST(attempts(fixture) == 1U);
        const core::failure* refused = failure_of(fixture, 2);
        BOOST_REQUIRE(refused != nullptr);
        BOOST_TEST(refused->not_run);
        BOOST_TEST((refused->kind == core::error_kind::overloaded));
        BOOST_TEST((refused->retry_after > core::duration::zero()));
    }
}

BOOST_AUTO_TEST_CASE(requests_open_at_the_end_of_the_shutdown_are_answered_before_the_process_ends)
{
    for (const auto kind : {relay::request_kind::unsafe, relay::request_kind::safe}) {
        relay_fixture fixture{kind};
        submit(fixture, 1, 20s);
        fixture.handle(relay::stop_requested{});
        while (!fixture.ended && failure_of(fixture, 1) == nullptr) {
            fixture.advance(1ms);
        }
        BOOST_TEST(!fixture.ended);
        const core::failure* failed = failure_of(fixture, 1);
        BOOST_REQUIRE(failed != nullptr);
        BOOST_TEST(!failed->not_run);
        const auto* closed = relay_fixture::find_last<relay::close_attempt>(fixture.to_targets);
        BOOST_REQUIRE(closed != nullptr);
        BOOST_TEST((closed->attempt == fixture.last_attempt().attempt));
        fixture.advance(drain_limit);
        BOOST_TEST(fixture.ended);
        BOOST_TEST(responses_to(fixture, 1) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_open_at_the_end_of_the_shutdown_is_cut_and_not_completed)
{
    relay_fixture fixture;
    fixture.submit(1);
    fixture.handle(relay::stop_requested{});
    for (int event = 1; !fixture.ended && event < 100; ++event) {
        if (fixture.open_requests() > 0) {
            fixture.stream_to(event);
        }
        fixture.advance(100ms);
    }
    BOOST_TEST(fixture.ended);
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 1U);
    BOOST_TEST(relay_fixture::count<relay::answer_finished>(fixture.to_entries) == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_is_read_when_the_shutdown_is_over_is_not_passed_on)
{
    for (const auto kind : {relay::request_kind::unsafe, relay::request_kind::streaming}) {
        relay_fixture fixture{kind};
        fixture.handle(relay::stop_requested{});
        fixture.handle(relay::entry_state{false});
        fixture.advance(drain_limit);
        BOOST_REQUIRE(fixture.ended);
        submit(fixture, 1, 100ms);
        BOOST_TEST(attempts(fixture) == 0U);
        BOOST_REQUIRE(failure_of(fixture, 1) != nullptr);
        BOOST_TEST(failure_of(fixture, 1)->not_run);
    }
}

RC_BOOST_PROP(each_request_around_a_stop_is_answered_once_and_not_run_is_never_false, ())
{
    const auto kind = *rc::gen::element(relay::request_kind::unsafe, relay::request_kind::safe);
    relay_fixture fixture{kind};
    const int stop_at_ms = *rc::gen::inRange(0, 3000);
    const int answered_after_ms = *rc::gen::inRange(1, 12000);
    constexpr std::uint64_t callers = 8;
    std::vector<std::pair<int, int>> submissions;
    for (std::uint64_t i = 0; i < callers; ++i) {
        submissions.emplace_back(*rc::gen::inRange(0, 11000), *rc::gen::inRange(10, 9000));
    }
    std::map<std::uint64_t, std::pair<int, relay::attempt_id>> running;
    for (int ms = 0; ms < 12000; ++ms) {
        if (ms == stop_at_ms) {
            fixture.handle(relay::stop_requested{});
        }
        for (std::uint64_t i = 0; i < callers; ++i) {
            const std::size_t before = attempts(fixture);
            if (submissions[i].first == ms && !fixture.ended) {
                submit(fixture, i, std::chrono::milliseconds{submissions[i].second});
                if (attempts(fixture) > before) {
                    running.emplace(i, std::pair{ms, fixture.last_attempt().attempt});
                }
                else {
                    const core::failure* refused = failure_of(fixture, i);
                    const bool refused_unrun = refused != nullptr && refused->not_run;
                    RC_ASSERT(refused_unrun);
                }
            }
            const auto found = running.find(i);
            if (found != running.end() && !fixture.ended &&
                found->second.first + answered_after_ms == ms) {
                fixture.handle(relay::attempt_answered{found->second.second,
                                                       relay::answer_head{200, {}}, "body"});
            }
        }
        const bool was_ended = fixture.ended;
        fixture.advance(1ms);
        if (fixture.ended && !was_ended) {
            for (std::uint64_t i = 0; i < callers; ++i) {
                RC_ASSERT(responses_to(fixture, i) == (submissions[i].first <= ms ? 1U : 0U));
            }
            for (const auto& [caller, run] : running) {
                const core::failure* failed = failure_of(fixture, caller);
                const bool claims_not_run = failed != nullptr && failed->not_run;
                RC_ASSERT(!claims_not_run);
            }
        }
    }
    RC_ASSERT(fixture.ended);
}
