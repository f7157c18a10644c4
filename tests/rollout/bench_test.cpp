#include <boost/test/unit_test.hpp>

#include "bench/rollout_case.hpp"
#include "rollout/clock_policy.hpp"
#include "rollout/evidence_policy.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t cases = 3;
constexpr std::uint64_t first_seed = 1;

template <class Check>
void for_each_case(const rollout::share_policy& policy, bench::fault_kind kind, Check check)
{
    for (std::uint64_t seed = first_seed; seed < first_seed + cases; ++seed) {
        BOOST_TEST_CONTEXT(bench::to_string(kind) << ", seed " << seed)
        {
            check(bench::run_case(policy, true, bench::lantern, kind, seed));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(good_version_moves_in_time_despite_outages_and_lost_instances)
{
    const rollout::evidence_policy policy{{}, {}};
    for_each_case(policy, bench::fault_kind::none, [](const bench::case_result& result) {
        BOOST_TEST(result.moved_in_time);
        BOOST_TEST(!result.taken_back, result.reason);
    });
}

BOOST_AUTO_TEST_CASE(bad_version_of_each_kind_is_taken_back_at_a_small_share)
{
    const rollout::evidence_policy policy{{}, {}};
    for (const bench::fault_kind kind : bench::all_faults) {
        if (kind == bench::fault_kind::none) {
            continue;
        }
        for_each_case(policy, kind, [](const bench::case_result& result) {
            BOOST_TEST(result.taken_back);
            BOOST_TEST(result.largest_share <= 0.05);
        });
    }
}

BOOST_AUTO_TEST_CASE(clock_policy_takes_back_a_version_that_fails_at_once)
{
    const rollout::clock_policy policy{{}};
    for_each_case(policy, bench::fault_kind::fails_at_once,
                  [](const bench::case_result& result) { BOOST_TEST(result.taken_back); });
}
