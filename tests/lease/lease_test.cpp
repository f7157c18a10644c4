#include "lease/lease.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"
#include "lease/fakes.hpp"
#include "lease/reconciler.hpp"

using namespace cyclamen;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(a_lease_row_round_trips_and_malformed_text_is_rejected)
{
    const lease::lease_row row{core::instance_name{"i1"}, core::incarnation{3},
                               lease::fencing_number{9}};
    BOOST_CHECK(lease::parse_lease_row(lease::to_string(row)) == row);
    BOOST_TEST(!lease::parse_lease_row("i1 3").has_value());
    BOOST_TEST(!lease::parse_lease_row("i1 x 9").has_value());
}

BOOST_AUTO_TEST_CASE(one_instance_holds_the_lease_and_a_paused_holder_is_replaced)
{
    test::fleet fleet{2};
    fleet.run(seconds{5});
    BOOST_TEST(fleet.holders() == 1);
    const std::size_t first = fleet.holder();
    const auto fence = fleet.member(first).instance_lease.fence();
    fleet.member(first).paused_until = fleet.now + seconds{60};
    fleet.run(seconds{20});
    const std::size_t second = 1 - first;
    BOOST_TEST(fleet.member(second).may_order());
    BOOST_TEST(fleet.member(second).instance_lease.fence().value() > fence.value());
}

BOOST_AUTO_TEST_CASE(a_claim_whose_answer_is_lost_gives_no_lease_but_a_later_one_does)
{
    test::fleet fleet{2};
    fleet.table.loses_answers = true;
    fleet.run(seconds{4});
    BOOST_TEST(fleet.holders() == 0);
    fleet.table.loses_answers = false;
    fleet.run(seconds{30});
    BOOST_TEST(fleet.holders() == 1);
}

BOOST_AUTO_TEST_CASE(the_lease_ends_while_the_table_is_unavailable)
{
    test::fleet fleet{2};
    fleet.run(seconds{5});
    fleet.table.unavailable = true;
    fleet.run(seconds{11});
    BOOST_TEST(fleet.holders() == 0);
    fleet.table.unavailable = false;
    fleet.run(seconds{20});
    BOOST_TEST(fleet.holders() == 1);
}

BOOST_AUTO_TEST_CASE(a_lease_that_a_restored_table_has_lost_is_never_held_by_two)
{
    for (milliseconds delay{}; delay < seconds{6}; delay += milliseconds{100}) {
        test::fleet fleet{3};
        fleet.run(seconds{5} + delay);
        BOOST_REQUIRE(fleet.holders() == 1);
        fleet.table.restore({}, 0);
        for (int step = 0; step < 300; ++step) {
            fleet.run(milliseconds{100});
            BOOST_REQUIRE(fleet.holders() <= 1);
        }
        BOOST_TEST(fleet.holders() == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_lease_does_not_lapse_early_if_a_restored_table_gives_out_its_version_again)
{
    for (milliseconds delay{}; delay < seconds{6}; delay += milliseconds{100}) {
        test::fleet fleet{2};
        fleet.run(seconds{5} + delay);
        BOOST_REQUIRE(fleet.holders() == 1);
        const std::string value = fleet.table.value;
        const std::uint64_t version = fleet.table.version.value();
        // The other instance knows this version, and reads no later one before the restore.
        const std::size_t other = 1 - fleet.holder();
        fleet.member(other).paused_until = fleet.now + seconds{9};
        fleet.run(seconds{9});
        fleet.table.restore(value, version);
        fleet.member(other).answers.clear();
        for (int step = 0; step < 300; ++step) {
            fleet.run(milliseconds{100});
            BOOST_REQUIRE(fleet.holders() <= 1);
        }
        BOOST_TEST(fleet.holders() == 1);
    }
}

BOOST_AUTO_TEST_CASE(fencing_numbers_increase_over_a_restore_that_has_lost_the_highest_one)
{
    test::fleet fleet{2};
    fleet.member(1).paused_until = fleet.now + seconds{6};
    fleet.run(seconds{5});
    BOOST_REQUIRE(fleet.member(0).may_order());
    const auto fence = fleet.member(0).instance_lease.fence();
    fleet.member(0).paused_until = fleet.now + seconds{60};
    fleet.table.restore({}, 0);
    fleet.run(seconds{30});
    BOOST_REQUIRE(fleet.member(1).may_order());
    BOOST_TEST(fleet.member(1).instance_lease.fence().value() > fence.value());
}

BOOST_AUTO_TEST_CASE(the_reconciler_orders_targets_that_differ_and_have_no_recent_order)
{
    test::fleet fleet{1};
    fleet.run(seconds{5});
    const lease::lease& held = fleet.member(0).instance_lease;
    lease::reconciler reconciler{seconds{10}};
    const core::target_name target{"t"};
    reconciler.set_desired({{target, core::version_name{"v2"}, true}});
    BOOST_TEST(reconciler.take_orders(held, fleet.now).size() == 1U);
    BOOST_TEST(reconciler.take_orders(held, fleet.now).empty());
    reconciler.observe(target, core::version_name{"v2"});
    BOOST_TEST(reconciler.differing_targets().empty());
    fleet.run(seconds{11});
    BOOST_TEST(reconciler.take_orders(held, fleet.now).empty());
    // The target lost the loaded version, for example in a restart.
    reconciler.observe(target, core::version_name{"v1"});
    BOOST_TEST(reconciler.take_orders(held, fleet.now).size() == 1U);
}

// With pauses, outages and lost answers in any order, no engine may execute an order of a former
// holder after an order of its successor, whether the engine checks fencing numbers or not.
RC_BOOST_PROP(no_engine_executes_an_order_of_a_former_holder_after_its_successors, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 100));
    test::fleet fleet{3};
    for (const int step : steps) {
        const auto index = static_cast<std::size_t>(step % 3);
        const auto length = milliseconds{100 * step};
        switch (step % 5) {
        case 0:
            fleet.member(index).paused_until = fleet.now + 4 * length;
            break;
        case 1:
            // Pauses between the decision to send an order and its transmission.
            fleet.member(index).pause_before_sending = length;
            break;
        case 2:
            fleet.table.unavailable = !fleet.table.unavailable;
            break;
        case 3:
            fleet.table.loses_answers = !fleet.table.loses_answers;
            break;
        default:
            fleet.table.unavailable = false;
            fleet.table.loses_answers = false;
            break;
        }
        fleet.run(milliseconds{300} + length / 4);
    }
    RC_ASSERT(fleet.fenced_engine.outdated_orders_executed == 0);
    RC_ASSERT(fleet.unfenced_engine.outdated_orders_executed == 0);
}
