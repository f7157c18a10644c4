#include "soak/fault_plan.hpp"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace cyclamen;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(a_seed_always_gives_the_same_plan)
{
    BOOST_TEST((soak::plan_faults(7, 20s) == soak::plan_faults(7, 20s)));
    BOOST_TEST((soak::plan_faults(7, 20s) != soak::plan_faults(8, 20s)));
}

BOOST_AUTO_TEST_CASE(every_kind_comes_and_every_fault_ends_before_the_calm)
{
    std::set<soak::fault_kind> kinds;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        for (const soak::planned_fault& each : soak::plan_faults(seed, 20s)) {
            kinds.insert(each.kind);
            BOOST_TEST((each.at + each.length <= 17s));
            BOOST_TEST(!soak::to_text(each.kind).empty());
        }
    }
    BOOST_TEST(kinds.size() == soak::fault_kind_count);
}
