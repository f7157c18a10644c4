#include <boost/test/unit_test.hpp>

#include "call/call_simulation.hpp"

using namespace cyclamen;
using test::call_simulation;
using namespace std::chrono_literals;

namespace {

/// The table service handles several hundred writes per second; this is the budget for claims.
constexpr double max_writes_per_second = 300.0;
constexpr std::size_t instance_count = 20;
constexpr auto run_time = 5s;

} // namespace

BOOST_AUTO_TEST_CASE(table_writes_stay_bounded_at_any_call_rate)
{
    for (const int calls_per_second : {20, 100, 400, 1600, 6400}) {
        call_simulation simulation{instance_count};
        const auto interval = core::duration{1s} / calls_per_second;
        const auto count = static_cast<std::size_t>(calls_per_second * run_time.count());
        for (std::size_t i = 0; i < count; ++i) {
            simulation.at(interval * i, [&simulation, i] {
                // Spreads the calls over the instances without a regular pattern.
                simulation.send((i * 7 + i / instance_count) % instance_count,
                                "k" + std::to_string(i));
            });
        }
        simulation.run(run_time);
        const double writes = static_cast<double>(simulation.table_commits) / run_time.count();
        simulation.run(3s);
        std::size_t answered = 0;
        for (const auto& [caller, result] : simulation.results) {
            answered += result.answered ? 1 : 0;
        }
        BOOST_TEST_MESSAGE(calls_per_second << " calls/s at " << instance_count
                                            << " instances: " << writes << " transactions/s, "
                                            << writes / calls_per_second << " per call");
        BOOST_TEST(answered == count);
        BOOST_TEST(writes <= max_writes_per_second);
    }
}
