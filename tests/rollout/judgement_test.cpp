#include "rollout/judgement.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

#include "rollout/fixtures.hpp"
#include "rollout/sequential_test.hpp"

using namespace cyclamen;
using api::rollout_arm;
using rollout::attempt_end;

namespace {

rollout::judgement judge(test::recorded_requests& recorded, core::duration after)
{
    return rollout::judge({}, test::make_rollout(std::chrono::hours{1}).key(), recorded.known(),
                          test::window_start + std::chrono::ceil<std::chrono::milliseconds>(after));
}

} // namespace

BOOST_AUTO_TEST_CASE(equal_versions_raise_false_alarms_within_the_bound)
{
    constexpr int runs = 2000;
    constexpr double threshold = 100;
    std::mt19937_64 random{7};
    int alarms = 0;
    for (int run = 0; run < runs; ++run) {
        rollout::sequential_test test{1};
        std::binomial_distribution<std::uint64_t> few{40, 0.05};
        std::binomial_distribution<std::uint64_t> many{400, 0.05};
        bool alarmed = false;
        for (int window = 0; window < 60; ++window) {
            test.add({few(random), 40, many(random), 400});
            alarmed = alarmed || test.e_value() >= threshold;
        }
        alarms += alarmed ? 1 : 0;
    }
    BOOST_TEST(alarms <= runs / threshold);
}

BOOST_AUTO_TEST_CASE(failures_of_only_the_new_version_are_detected)
{
    test::recorded_requests recorded;
    recorded.add(rollout_arm::from, 400, attempt_end::finished, test::window_start);
    recorded.add(rollout_arm::to, 30, attempt_end::finished, test::window_start);
    recorded.add(rollout_arm::to, 6, attempt_end::failed, test::window_start);
    const auto verdict = judge(recorded, std::chrono::seconds{30});
    BOOST_REQUIRE(verdict.fault.has_value());
    BOOST_CHECK(verdict.fault->reason == api::veto_reason::failures);
}

BOOST_AUTO_TEST_CASE(equal_failures_of_both_versions_are_not_a_fault)
{
    test::recorded_requests recorded;
    recorded.add(rollout_arm::from, 300, attempt_end::finished, test::window_start);
    recorded.add(rollout_arm::from, 100, attempt_end::failed, test::window_start);
    recorded.add(rollout_arm::to, 30, attempt_end::finished, test::window_start);
    recorded.add(rollout_arm::to, 10, attempt_end::failed, test::window_start);
    BOOST_TEST(!judge(recorded, std::chrono::seconds{30}).fault.has_value());
}

BOOST_AUTO_TEST_CASE(unrelated_ends_are_not_counted)
{
    test::recorded_requests recorded;
    recorded.add(rollout_arm::from, 400, attempt_end::finished, test::window_start);
    recorded.add(rollout_arm::to, 40, attempt_end::unrelated, test::window_start);
    const auto verdict = judge(recorded, std::chrono::seconds{30});
    BOOST_TEST(verdict.requests == 0U);
    BOOST_TEST(!verdict.fault.has_value());
}

BOOST_AUTO_TEST_CASE(fault_on_one_route_is_detected_and_named)
{
    test::recorded_requests recorded;
    for (const char* route : {"stream", "whole"}) {
        recorded.add(rollout_arm::from, 300, attempt_end::finished, test::window_start, route);
    }
    recorded.add(rollout_arm::to, 60, attempt_end::finished, test::window_start, "stream");
    recorded.add(rollout_arm::to, 6, attempt_end::failed, test::window_start, "whole");
    const auto verdict = judge(recorded, std::chrono::seconds{30});
    BOOST_REQUIRE(verdict.fault.has_value());
    BOOST_TEST(verdict.fault->evidence.find("whole") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(proof_requires_exposure_time_and_requests)
{
    test::recorded_requests recorded;
    recorded.add(rollout_arm::from, 2000, attempt_end::finished, test::window_start);
    recorded.add(rollout_arm::to, 200, attempt_end::finished, test::window_start);
    rollout::evidence known = recorded.known();
    const auto proven = [&](core::duration after) {
        const auto now = test::window_start + std::chrono::ceil<std::chrono::milliseconds>(after);
        return rollout::judge({}, test::make_rollout(std::chrono::hours{1}).key(), known, now)
            .proven;
    };
    BOOST_TEST(!proven(std::chrono::minutes{2}));
    BOOST_TEST(proven(std::chrono::minutes{7}));
    test::recorded_requests few;
    few.add(rollout_arm::to, 20, attempt_end::finished, test::window_start);
    BOOST_TEST(!judge(few, std::chrono::hours{1}).proven);
}
