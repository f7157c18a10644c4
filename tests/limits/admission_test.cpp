#include <boost/test/unit_test.hpp>

#include "limits/fleet_simulation.hpp"

using namespace cyclamen;

namespace {

constexpr std::size_t instances = 16;
constexpr double slots = 160.0;
/// Requests per second that keep all slots busy.
constexpr double full_load = slots * test::fleet_simulation::tokens_per_second /
                             static_cast<double>(test::fleet_simulation::tokens_per_request);
constexpr core::duration run_time = std::chrono::seconds{60};
/// Upper bound on the open requests of all instances together.
const double max_started = limits::admission_settings{}.max_borrow_factor * slots + instances;

std::vector<test::account_load> even_loads(double total, int accounts = 10)
{
    std::vector<test::account_load> loads;
    loads.reserve(static_cast<std::size_t>(accounts));
    for (int i = 0; i < accounts; ++i) {
        loads.push_back({"a" + std::to_string(i), total / accounts});
    }
    return loads;
}

double goodput(double load, bool is_naive, bool peers_report = true)
{
    test::fleet_simulation fleet{instances, slots, even_loads(load * full_load), is_naive,
                                 peers_report};
    fleet.run(run_time);
    BOOST_TEST((is_naive || static_cast<double>(fleet.max_open) <= max_started));
    return fleet.tokens_in_time() / core::to_seconds(run_time);
}

} // namespace

BOOST_AUTO_TEST_CASE(goodput_holds_at_twice_the_capacity)
{
    double best = 0.0;
    for (const double load : {0.7, 0.8, 0.9, 1.0, 1.1}) {
        best = std::max({best, goodput(load, false), goodput(load, true)});
    }
    const double share_based = goodput(2.0, false);
    const double is_naive = goodput(2.0, true);
    BOOST_TEST_MESSAGE("tokens in time per second: best " << best << ", at twice the capacity "
                                                          << share_based << ", naive " << is_naive);
    BOOST_TEST(share_based >= 0.95 * best);
    BOOST_TEST(is_naive < share_based);
}

BOOST_AUTO_TEST_CASE(without_peer_reports_the_fleet_stays_within_capacity)
{
    test::fleet_simulation fleet{instances, slots, even_loads(2.0 * full_load), false, false};
    fleet.run(run_time);
    BOOST_TEST_MESSAGE("most open without peers: " << fleet.max_open << " of " << slots);
    // Each instance may exceed its limit by one, for the first request of an account.
    BOOST_TEST(static_cast<double>(fleet.max_open) <= slots + instances);
}

BOOST_AUTO_TEST_CASE(an_account_with_twenty_times_the_load_starves_no_other)
{
    constexpr double small = full_load / 20.0;
    std::vector<test::account_load> loads{{"large", 20.0 * small}};
    for (int i = 0; i < 9; ++i) {
        loads.push_back({"small" + std::to_string(i), small});
    }
    test::fleet_simulation fleet{instances, slots, loads, false};
    fleet.run(run_time);
    for (const auto& [name, result] : fleet.results) {
        BOOST_TEST_MESSAGE(name << ": sent " << result.sent << ", in time " << result.in_time
                                << ", refused " << result.refused << ", failed " << result.failed
                                << ", longest wait ms "
                                << core::to_milliseconds(result.longest_wait));
        if (name != "large") {
            BOOST_TEST(result.refused == 0);
            BOOST_TEST(result.failed == 0);
        }
    }
    // The other accounts leave about half of the capacity, which is lent to the large one.
    const double lent = fleet.results["large"].tokens_in_time / fleet.tokens_in_time();
    BOOST_TEST(lent > 0.45);
}

BOOST_AUTO_TEST_CASE(one_account_may_use_the_whole_capacity_of_an_idle_fleet)
{
    test::fleet_simulation fleet{
        instances, slots, {{"only", 0.8 * full_load}, {"idle", 0.0}}, false};
    fleet.run(run_time);
    BOOST_TEST(fleet.results["only"].refused == 0);
    BOOST_TEST(fleet.results["only"].failed == 0);
    BOOST_TEST((fleet.results["only"].longest_wait < std::chrono::seconds{2}));
}
