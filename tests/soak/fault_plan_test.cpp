#include "soak/fault_plan.hpp"

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
    }
    BOOST_TEST(kinds.size() == soak::fault_kind_count);
}
