#include "lease/lease.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"
#include "lease/fakes.hpp"
#include "lease/reconciler.hpp"

using namespace cyclamen;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(rows_are_read_as_they_are_written)
{
    const lease::lease_row row{core::instance_name{"i1"}, core::incarnation{3},
                               lease::fencing_number{9}};
    BOOST_CHECK(lease::parse_lease_row(lease::to_string(row)) == row);
    BOOST_TEST(!lease::parse_lease_row("i1 3").has_value());
    BOOST_TEST(!lease::parse_lease_row("i1 x 9").has_value());
}

BOOST_AUTO_TEST_CASE(one_holder_at_a_time_and_a_successor_after_its_end)
{
    test::fleet fleet{2};
    fleet.run(seconds{5});
    BOOST_TEST(fleet.holders() == 1);
    const std::size_t first = fleet.holder();
    const auto fence = fleet.member(first).held.fence();
    fleet.member(first).paused_until = fleet.now + seconds{60};
    fleet.run(seconds{20});
    const std::size_t second = 1 - first;
    BOOST_TEST(fleet.member(second).may_order());
    BOOST_TEST(fleet.member(second).held.fence().value() > fence.value());
}

BOOST_AUTO_TEST_CASE(a_lost_answer_to_the_claim_gives_no_lease_to_two)
{
    test::fleet fleet{2};
    fleet.table.lose_answers = true;
    fleet.run(seconds{4});
    BOOST_TEST(fleet.holders() == 0);
    fleet.table.lose_answers = false;
    fleet.run(seconds{30});
    BOOST_TEST(fleet.holders() == 1);
}

BOOST_AUTO_TEST_CASE(without_the_table_the_lease_ends)
{
    test::fleet fleet{2};
    fleet.run(seconds{5});
    fleet.table.down = true;
    fleet.run(seconds{11});
    BOOST_TEST(fleet.holders() == 0);
    fleet.table.down = false;
    fleet.run(seconds{20});
    BOOST_TEST(fleet.holders() == 1);
}

BOOST_AUTO_TEST_CASE(the_reconciler_repairs_what_differs_and_does_not_repeat_itself)
{
    test::fleet fleet{1};
    fleet.run(seconds{5});
    const lease::lease& held = fleet.member(0).held;
    lease::reconciler repair{seconds{10}};
    const core::target_name target{"t"};
    repair.set_desired({{target, core::version_name{"v2"}, true}});
    BOOST_TEST(repair.take_orders(held, fleet.now).size() == 1U);
    BOOST_TEST(repair.take_orders(held, fleet.now).empty());
    repair.observe(target, core::version_name{"v2"});
    BOOST_TEST(repair.differing_targets().empty());
    fleet.run(seconds{11});
    BOOST_TEST(repair.take_orders(held, fleet.now).empty());
    // The target lost what it had loaded, such as by a restart.
    repair.observe(target, core::version_name{"v1"});
    BOOST_TEST(repair.take_orders(held, fleet.now).size() == 1U);
}

// Pauses, outages and lost answers in any order: no engine carries out an order of a holder after
// a successor gave it one, whether it checks fencing numbers or not.
RC_BOOST_PROP(a_paused_holder_that_returns_does_no_harm, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 100));
    test::fleet fleet{3};
    for (const int step : steps) {
        const auto who = static_cast<std::size_t>(step % 3);
        const auto length = milliseconds{100 * step};
        switch (step % 5) {
        case 0:
            fleet.member(who).paused_until = fleet.now + 4 * length;
            break;
        case 1:
            // Paused between the decision and the connection.
            fleet.member(who).pause_before_sending = length;
            break;
        case 2:
            fleet.table.down = !fleet.table.down;
            break;
        case 3:
            fleet.table.lose_answers = !fleet.table.lose_answers;
            break;
        default:
            fleet.table.down = false;
            fleet.table.lose_answers = false;
            break;
        }
        fleet.run(milliseconds{300} + length / 4);
    }
    RC_ASSERT(fleet.checking.old_orders_carried_out == 0);
    RC_ASSERT(fleet.unchecking.old_orders_carried_out == 0);
}
