#include "soak/fault_effects.hpp"

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace cyclamen;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_plans)
{
    BOOST_TEST((soak::plan_faults(7, 20s) == soak::plan_faults(7, 20s)));
    BOOST_TEST((soak::plan_faults(7, 20s) != soak::plan_faults(8, 20s)));
}

BOOST_AUTO_TEST_CASE(all_kinds_occur_and_faults_end_before_the_fault_free_time)
{
    std::set<soak::fault_kind> kinds;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        for (const soak::planned_fault& fault : soak::plan_faults(seed, 20s)) {
            kinds.insert(fault.kind);
            BOOST_TEST((fault.at + fault.length <= 17s));
            BOOST_TEST(!soak::to_text(fault.kind).empty());
        }
        for (const soak::planned_fault& fault : soak::plan_silences(seed, 20s)) {
            kinds.insert(fault.kind);
            BOOST_TEST((fault.at + fault.length <= 17s));
            BOOST_TEST((fault.length <= 1s));
            BOOST_TEST(!soak::to_text(fault.kind).empty());
        }
    }
    BOOST_TEST(kinds.size() == soak::fault_kind_count);
}

BOOST_AUTO_TEST_CASE(restores_are_planned_among_the_other_faults_in_the_order_of_time)
{
    std::size_t restores = 0;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const auto plan = soak::plan_faults(seed, 20s);
        BOOST_TEST(std::is_sorted(plan.begin(), plan.end(),
                                  [](const auto& a, const auto& b) { return a.at < b.at; }));
        restores += static_cast<std::size_t>(
            std::count_if(plan.begin(), plan.end(), [](const soak::planned_fault& fault) {
                return fault.kind == soak::fault_kind::store_restored;
            }));
    }
    BOOST_TEST(restores >= 50U);
}

BOOST_AUTO_TEST_CASE(restores_leave_a_seed_its_other_faults)
{
    std::vector<soak::planned_fault> others;
    for (const soak::planned_fault& fault : soak::plan_faults(140, 6s)) {
        if (fault.kind != soak::fault_kind::store_restored) {
            others.push_back(fault);
        }
    }
    using enum soak::fault_kind;
    const std::vector<soak::planned_fault> expected{{545ms, runner_shedding, 816903771, 1056ms},
                                                    {1389ms, runner_garbling, 2139438949, 1611ms},
                                                    {1802ms, store_slow, 2086220024, 1198ms},
                                                    {2569ms, runner_reset, 970261024, 431ms}};
    BOOST_TEST((others == expected));
}

BOOST_AUTO_TEST_CASE(a_copy_is_some_seconds_old_and_the_store_is_away_for_the_length_of_the_fault)
{
    for (const std::uint32_t subject : {0U, 7U, 8'999U, 4'294'967'295U}) {
        const standin::restore_copy copy = soak::copy_for(
            soak::planned_fault{1s, soak::fault_kind::store_restored, subject, 400ms});
        BOOST_TEST((copy.age >= 1s && copy.age <= 10s));
        BOOST_TEST((copy.away == 400ms));
        BOOST_TEST((copy.rewrite_delay <= 2s));
    }
}
