#include "rollout/evidence.hpp"

#include <random>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "rollout/fixtures.hpp"

using namespace cyclamen;

namespace {

api::cell_count make_count(std::uint64_t origin, std::uint64_t window, std::uint64_t attempts,
                           std::uint64_t failures)
{
    return {{core::instance_name{"i"}, core::incarnation{origin}},
            {test::make_rollout(std::chrono::hours{1}).key(),
             api::window_number{window},
             {},
             api::rollout_arm::to,
             api::cohort::spread},
            {attempts, failures, 0, {}}};
}

} // namespace

// Messages may be repeated or reordered without an effect on the merged evidence.
RC_BOOST_PROP(merged_evidence_does_not_depend_on_order_or_repetition, ())
{
    const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(
        30, rc::gen::inRange<std::uint64_t>(0, 1000));
    std::vector<api::cell_count> counts;
    for (const std::uint64_t each : numbers) {
        counts.push_back(make_count(each % 3, each % 2, each, each / 2));
    }
    rollout::evidence forwards;
    for (const auto& count : counts) {
        forwards.merge(count);
    }
    rollout::evidence backwards;
    for (int round = 0; round < 2; ++round) {
        for (auto count = counts.rbegin(); count != counts.rend(); ++count) {
            backwards.merge(*count);
        }
    }
    RC_ASSERT(forwards == backwards);
}

BOOST_AUTO_TEST_CASE(counters_of_different_origins_are_summed)
{
    rollout::evidence known;
    BOOST_TEST(known.merge(make_count(1, 5, 10, 1)));
    BOOST_TEST(known.merge(make_count(2, 5, 20, 2)));
    BOOST_TEST(!known.merge(make_count(1, 5, 4, 1)));
    BOOST_REQUIRE(known.cells().size() == 1U);
    BOOST_TEST(known.cells().begin()->second.attempts == 30U);
    BOOST_TEST(known.cells().begin()->second.failures == 3U);
    BOOST_TEST(known.since(api::window_number{6}).cells.empty());
}

namespace {

std::uint64_t blamed(test::recorded_requests& recorded)
{
    std::uint64_t total = 0;
    const rollout::evidence known = recorded.known();
    for (const auto& [cell, sum] : known.targets()) {
        total += sum.blamed();
    }
    return total;
}

/// Records several requests, each of which crashes two targets of the new version.
void crash_two_targets_each(test::recorded_requests& recorded, int requests)
{
    core::wall_time now = test::window_start;
    for (int i = 0; i < requests; ++i) {
        for (const char* target : {"n1", "n2"}) {
            const auto attempt = test::make_attempt(api::rollout_arm::to, target, now);
            recorded.recorder.on_end(attempt, rollout::attempt_end::lost, now);
            recorded.recorder.excuse(attempt, now);
        }
        now += std::chrono::seconds{30};
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(crashes_by_one_bad_request_are_not_blamed_on_the_version)
{
    test::recorded_requests recorded;
    crash_two_targets_each(recorded, 1);
    BOOST_TEST(blamed(recorded) == 0U);
}

BOOST_AUTO_TEST_CASE(version_that_crashes_on_every_request_is_blamed_beyond_the_limit)
{
    test::recorded_requests recorded;
    crash_two_targets_each(recorded, 10);
    BOOST_TEST(blamed(recorded) == 16U);
}

BOOST_AUTO_TEST_CASE(connections_lost_together_count_as_one_crash)
{
    test::recorded_requests recorded;
    recorded.add(api::rollout_arm::to, 12, rollout::attempt_end::lost, test::window_start);
    BOOST_TEST(blamed(recorded) == 1U);
}
