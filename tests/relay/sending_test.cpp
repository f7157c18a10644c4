#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

/// Lists 60 instances, of which the fixture's is one, before two targets of six slots.
void share_targets(relay_fixture& fixture, std::size_t instances = 60)
{
    std::vector<relay::member_entry> members;
    for (std::size_t i = 1; i <= instances; ++i) {
        const core::socket_address address{"10.0.0." + std::to_string(i), 80};
        members.push_back(
            relay::member_entry{relay::member{core::instance_name{"i-" + std::to_string(i)},
                                              address, core::failure_domain_name{"a"}, address},
                                {1, 1}});
    }
    fixture.handle(relay::members_listed{true, std::move(members), {}});
    std::vector<relay::target_record> listed;
    for (int i = 0; i < 2; ++i) {
        const relay::target_record known = relay_fixture::target(i);
        listed.push_back(relay::target_record{known.name, known.service, known.address,
                                              known.domain, known.version, known.started_at, 2,
                                              false, 6});
    }
    fixture.handle(relay::targets_listed{true, std::move(listed), {}});
    // Past the time in which a new process is limited.
    fixture.advance(4s);
}

std::size_t attempts(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::open_attempt>(fixture.to_targets);
}

std::size_t refusals(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::answer_refused>(fixture.to_entries);
}

void reject(relay_fixture& fixture)
{
    fixture.handle(relay::attempt_rejected{fixture.last_attempt().attempt, 503, false});
}

/// Learns that calls take 30 ms.
void answer_one(relay_fixture& fixture)
{
    fixture.submit(1000);
    fixture.advance(30ms);
    fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                           relay::answer_head{200, {}}, "done"});
}

} // namespace

BOOST_AUTO_TEST_CASE(rejected_call_waits_and_goes_to_another_target)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    share_targets(fixture);
    answer_one(fixture);
    fixture.submit(1);
    const std::string first = fixture.last_attempt().target.str();
    reject(fixture);
    BOOST_TEST(attempts(fixture) == 2U);
    BOOST_TEST(fixture.open_requests() == 1U);
    fixture.advance(3s);
    BOOST_TEST(attempts(fixture) == 3U);
    BOOST_TEST(fixture.last_attempt().target.str() != first);
    BOOST_TEST(refusals(fixture) == 0U);
}

BOOST_AUTO_TEST_CASE(rejected_call_is_offered_again_at_once_where_slots_exceed_instances)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    share_targets(fixture, 4);
    fixture.submit(1);
    reject(fixture);
    BOOST_TEST(attempts(fixture) == 2U);
}

BOOST_AUTO_TEST_CASE(calls_without_a_place_in_time_are_refused_as_not_run_and_told_when_to_return)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    share_targets(fixture);
    answer_one(fixture);
    fixture.submit(1);
    reject(fixture);
    const std::size_t sent = attempts(fixture);
    for (std::uint64_t caller = 2; caller < 60; ++caller) {
        fixture.submit(caller);
    }
    BOOST_TEST(attempts(fixture) == sent);
    BOOST_REQUIRE(refusals(fixture) > 0U);
    // What waits is bounded.
    BOOST_TEST(fixture.open_requests() <= 20U);
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    BOOST_TEST(refused->reason.not_run);
    BOOST_TEST((refused->reason.kind == core::error_kind::overloaded));
    BOOST_TEST((refused->reason.retry_after > core::duration::zero()));
    // Each of those that wait is sent or refused in the end.
    for (int step = 0; step < 300 && fixture.open_requests() > 0; ++step) {
        fixture.advance(100ms);
        if (attempts(fixture) > 0) {
            fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                                   relay::answer_head{200, {}}, "done"});
        }
    }
    BOOST_TEST(fixture.open_requests() == 0U);
    BOOST_TEST(attempts(fixture) > sent);
}

BOOST_AUTO_TEST_CASE(waiting_call_ends_when_its_caller_disconnects)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    share_targets(fixture);
    answer_one(fixture);
    fixture.submit(1);
    reject(fixture);
    fixture.handle(relay::caller_gone{relay::caller_id{1}});
    BOOST_TEST(fixture.open_requests() == 0U);
    fixture.advance(5s);
    BOOST_TEST(attempts(fixture) == 2U);
}

BOOST_AUTO_TEST_CASE(leaving_instance_answers_what_waits)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    share_targets(fixture);
    answer_one(fixture);
    fixture.submit(1);
    reject(fixture);
    fixture.handle(relay::stop_requested{});
    BOOST_TEST(fixture.open_requests() == 1U);
    fixture.advance(3s);
    BOOST_TEST(attempts(fixture) == 3U);
    fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                           relay::answer_head{200, {}}, "done"});
    BOOST_TEST(refusals(fixture) == 0U);
    BOOST_TEST(fixture.open_requests() == 0U);
}
