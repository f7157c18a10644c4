#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "limits/engine_fleet.hpp"
#include "limits/on_time_start.hpp"
#include "limits/ordered_start.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::engine_fleet;
using test::stream_kind;

namespace {

constexpr double usual = 4.7;
constexpr double burst_start = 10.0;
constexpr double burst_end = 20.0;
constexpr double arrivals_end = 40.0;
constexpr double all_done = 70.0;

double half(double /*now*/)
{
    return 0.5;
}

/// Streams a second: the usual load, and a multiple of it in the burst.
std::function<double(double)> burst(double factor)
{
    return [=](double now) {
        return now >= burst_start && now < burst_end ? factor * usual
               : now < arrivals_end                  ? usual
                                                     : 0.0;
    };
}

struct outcome {
    const double urgent;
    const double patient;
    const double all;
    const double recovered;
    const std::size_t preempted;
};

outcome play(std::function<double(double)> load, std::function<double(double)> urgent_fraction,
             bool ordered, std::size_t away = 0)
{
    engine_fleet fleet{[=]() -> std::unique_ptr<limits::start_policy> {
        if (ordered) {
            return std::make_unique<limits::ordered_start>();
        }
        return std::make_unique<limits::on_time_start>();
    }};
    fleet.run({std::move(load), away, burst_start + 1.0, burst_start + 6.0,
               std::move(urgent_fraction), ordered},
              all_done);
    const auto fraction = [&](stream_kind kind, double from, double until) {
        return fleet.on_time_fraction(kind, from, until);
    };
    const outcome seen{fraction(stream_kind::urgent, burst_start, burst_end),
                       fraction(stream_kind::patient, burst_start, burst_end),
                       fraction(stream_kind::any, burst_start, burst_end),
                       fraction(stream_kind::any, burst_end + 2.0, 30.0), fleet.preempted()};
    BOOST_TEST_MESSAGE((ordered ? "ordered" : "baseline")
                       << " urgent " << seen.urgent << " patient " << seen.patient << " all "
                       << seen.all << " after it " << seen.recovered << " preempted "
                       << seen.preempted);
    return seen;
}

/// A kind that is served less than a quarter as often as all counts as starved.
constexpr double starved = 0.25;

} // namespace

BOOST_AUTO_TEST_CASE(when_all_kinds_burst_the_urgent_one_is_on_time_no_less_often)
{
    for (const double factor : {2.5, 4.0}) {
        const outcome before = play(burst(factor), half, false);
        const outcome now = play(burst(factor), half, true);
        BOOST_TEST(now.urgent >= before.urgent);
        BOOST_TEST(now.urgent >= now.patient);
        BOOST_TEST(now.patient >= starved * now.all);
    }
}

BOOST_AUTO_TEST_CASE(an_urgent_burst_beside_a_lost_domain_is_served_before_patient_streams)
{
    const auto mostly_urgent = [](double now) {
        return now >= burst_start && now < burst_end ? 0.7 : 0.5;
    };
    const outcome before = play(burst(2.5), mostly_urgent, false, 6);
    const outcome now = play(burst(2.5), mostly_urgent, true, 6);
    BOOST_TEST(now.urgent > before.urgent);
    BOOST_TEST(now.urgent >= now.patient);
    BOOST_TEST(now.patient >= starved * now.all);
}

BOOST_AUTO_TEST_CASE(a_burst_of_few_urgent_streams_costs_them_nothing)
{
    const auto few = [](double /*now*/) { return 0.15; };
    const outcome now = play(burst(2.5), few, true);
    BOOST_TEST(now.urgent >= 0.9);
    BOOST_TEST(now.patient >= starved * now.all);
}

BOOST_AUTO_TEST_CASE(all_kinds_are_on_time_at_the_usual_load)
{
    const outcome now = play(burst(1.0), half, true);
    BOOST_TEST(now.urgent >= 0.98);
    BOOST_TEST(now.patient >= 0.98);
}

BOOST_AUTO_TEST_CASE(goodput_at_twice_the_capacity_is_near_that_at_capacity)
{
    // Above it no more streams a second are on time, without kinds and in order of arrival.
    constexpr double capacity = 11.0 / usual;
    const outcome at = play(burst(capacity), half, true);
    const outcome twice = play(burst(2.0 * capacity), half, true);
    BOOST_TEST(twice.all * 2.0 >= 0.9 * at.all);
    BOOST_TEST(twice.recovered >= 0.9);
    BOOST_TEST(twice.patient >= starved * twice.all);
}

RC_BOOST_PROP(no_request_starts_while_a_more_urgent_one_waits_that_could, ())
{
    struct asking {
        const std::uint64_t number;
        const limits::urgency_rank urgency;
        const core::instant accepted;
    };
    constexpr core::duration goal = 4000ms;
    const core::service_name service{"engines"};
    limits::engine_admission admission{[] { return std::make_unique<limits::ordered_start>(); }};
    std::vector<std::unique_ptr<asking>> waiting;
    core::instant now{1s};
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds{*rc::gen::inRange(1, 300)};
        std::erase_if(waiting, [&](const auto& each) {
            return admission.state_of(service, each->number, now) == limits::waiting_state::ended;
        });
        const bool is_new = waiting.empty() || *rc::gen::arbitrary<bool>();
        std::unique_ptr<asking> next;
        if (is_new) {
            next = std::make_unique<asking>(asking{static_cast<std::uint64_t>(step) + 1,
                                                   *rc::gen::inRange<std::uint32_t>(0, 4), now});
        }
        else {
            const auto at = *rc::gen::inRange<std::size_t>(0, waiting.size());
            next = std::move(waiting[at]);
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
        }
        const std::uint64_t used = *rc::gen::inRange<std::uint64_t>(0, 55000);
        const auto decision = admission.decide(
            service, next->number,
            limits::start_request{5000, 650, goal, now - next->accepted, true, 0, next->urgency},
            limits::engine_load{0, 8, 0, used, 55000, 64}, now);
        if (decision.verdict == limits::start_verdict::start) {
            for (const auto& each : waiting) {
                RC_ASSERT(each->urgency >= next->urgency);
            }
        }
        else if (decision.verdict == limits::start_verdict::wait) {
            waiting.push_back(std::move(next));
        }
        else {
            RC_ASSERT(decision.retry_after > core::duration::zero());
            RC_ASSERT(decision.retry_after <= 10s);
        }
    }
}

RC_BOOST_PROP(refused_callers_of_one_urgency_return_one_after_the_other, ())
{
    limits::return_schedule schedule;
    core::instant now{1s};
    schedule.on_started(now);
    schedule.on_started(now + 200ms);
    std::multimap<limits::urgency_rank, core::instant> returns;
    const int refusals = *rc::gen::inRange(1, 30);
    for (int i = 0; i < refusals; ++i) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 100)};
        const auto urgency = *rc::gen::inRange<std::uint32_t>(0, 3);
        const core::instant at = now + schedule.assign(urgency, 300ms, now);
        RC_ASSERT(at >= now + 300ms);
        RC_ASSERT(at <= now + 10s);
        for (const auto& [other, time] : returns) {
            const bool bounded = at == now + 10s;
            RC_ASSERT(other > urgency || bounded ||
                      std::chrono::abs(time - at) >= core::duration{200ms});
        }
        returns.emplace(urgency, at);
    }
}
