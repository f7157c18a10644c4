#include <boost/test/unit_test.hpp>

#include "limits/engine_fleet.hpp"
#include "limits/immediate_start.hpp"
#include "limits/on_time_start.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::engine_fleet;

namespace {

std::unique_ptr<limits::start_policy> make_on_time()
{
    return std::make_unique<limits::on_time_start>();
}

std::unique_ptr<limits::start_policy> make_immediate()
{
    return std::make_unique<limits::immediate_start>();
}

/// Streams on time a second at a constant load.
double goodput(const engine_fleet::policy_factory& make_policy, double streams_per_second)
{
    engine_fleet fleet{make_policy};
    fleet.run({[=](double now) { return now < 40.0 ? streams_per_second : 0.0; }}, 70.0);
    return static_cast<double>(fleet.on_time(10.0, 30.0)) / 20.0;
}

constexpr double usual = 4.7;
constexpr double burst_start = 10.0;
constexpr double burst_end = 20.0;

/// Two and a half times the usual load for ten seconds, and a third of the engines away for five.
test::engine_load_pattern burst_beside_a_lost_domain()
{
    return {
        [](double now) {
            return now >= burst_start && now < burst_end ? 2.5 * usual : now < 40.0 ? usual : 0.0;
        },
        6, burst_start + 1.0, burst_start + 6.0};
}

} // namespace

BOOST_AUTO_TEST_CASE(goodput_under_overload_stays_near_the_best)
{
    double best = 0.0;
    for (double load = 4.0; load <= 20.0; load += 2.0) {
        const double now = goodput(make_on_time, load);
        const double before = goodput(make_immediate, load);
        BOOST_TEST_MESSAGE("offered " << load << " on time " << now << " baseline " << before);
        best = std::max(best, now);
        BOOST_TEST(now >= 0.9 * std::min(load, best));
    }
}

BOOST_AUTO_TEST_CASE(burst_beside_a_lost_domain_serves_more_streams_on_time)
{
    engine_fleet naive{make_immediate};
    naive.run(burst_beside_a_lost_domain(), 60.0);
    engine_fleet fleet{make_on_time};
    fleet.run(burst_beside_a_lost_domain(), 60.0);
    const double from = burst_start;
    const double until = burst_end;
    BOOST_TEST_MESSAGE(
        "arrived " << fleet.arrived(from, until) << " on time " << fleet.on_time(from, until)
                   << " refused " << fleet.refused(from, until) << " preempted "
                   << fleet.preempted() << "; baseline " << naive.on_time(from, until)
                   << " preempted " << naive.preempted());
    BOOST_TEST(fleet.on_time(from, until) > naive.on_time(from, until));
    BOOST_TEST(fleet.preempted() * 4 < naive.preempted());
    // Two seconds after the burst streams are on time again.
    const double recovered = burst_end + 2.0;
    BOOST_TEST_MESSAGE("after it " << fleet.on_time(recovered, 30.0) << " of "
                                   << fleet.arrived(recovered, 30.0) << "; baseline "
                                   << naive.on_time(recovered, 30.0));
    BOOST_TEST(fleet.on_time(recovered, 30.0) * 10 >= fleet.arrived(recovered, 30.0) * 9);
}

BOOST_AUTO_TEST_CASE(no_stream_is_refused_at_the_usual_load)
{
    engine_fleet fleet{make_on_time};
    fleet.run({[](double now) { return now < 40.0 ? usual : 0.0; }}, 60.0);
    BOOST_TEST(fleet.refused(0.0, 40.0) == 0U);
    BOOST_TEST(fleet.on_time(0.0, 40.0) == fleet.arrived(0.0, 40.0));
}

BOOST_AUTO_TEST_CASE(long_prompts_are_served_at_least_half_as_often_as_short_ones)
{
    engine_fleet fleet{make_on_time};
    fleet.run({[](double) { return 4.0 * usual; }}, 40.0);
    BOOST_TEST(fleet.served_fraction(true) >= 0.5 * fleet.served_fraction(false));
}

BOOST_AUTO_TEST_CASE(before_any_rate_is_known_only_free_memory_counts)
{
    const limits::on_time_start policy;
    const limits::start_request request{5000, 650, 4500ms, 0ms, false, 0};
    const auto verdict = [&](const limits::engine_load& load) {
        return policy.decide(request, load).verdict;
    };
    BOOST_TEST((verdict({2, 4, 10000, 30000, 55000, 64}) == limits::start_verdict::start));
    BOOST_TEST((verdict({0, 8, 0, 52000, 55000, 64}) == limits::start_verdict::refuse));
    BOOST_TEST((verdict({0, 12, 0, 20000, 0, 12}) == limits::start_verdict::refuse));
    BOOST_TEST((verdict({0, 12, 0, 20000, 0, 0}) == limits::start_verdict::start));
}

BOOST_AUTO_TEST_CASE(refused_callers_return_spread_over_the_time_that_the_backlog_takes)
{
    limits::on_time_start policy;
    const limits::engine_load idle{0, 0, 0, 0, 55000, 64};
    policy.on_first_event(limits::start_observation{5000, idle, 1000ms});
    policy.on_finished(8s);
    const limits::engine_load busy{4, 8, 0, 52000, 55000, 64};
    std::vector<core::duration> returns;
    for (std::uint64_t spread : {0U, 500U, 999U}) {
        const auto decision =
            policy.decide(limits::start_request{5000, 650, 4500ms, 0ms, false, spread}, busy);
        BOOST_REQUIRE((decision.verdict == limits::start_verdict::refuse));
        returns.push_back(decision.retry_after);
    }
    BOOST_TEST((returns[0] > 1s && returns[0] < returns[1] && returns[1] < returns[2]));
    const auto waiting =
        policy.decide(limits::start_request{5000, 650, 4500ms, 0ms, true, 0}, busy);
    BOOST_TEST((waiting.verdict == limits::start_verdict::wait));
}
