#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "core/cell.hpp"
#include "limits/immediate_send.hpp"
#include "limits/plain_fleet.hpp"
#include "limits/shared_send.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::plain_fleet;
using test::plain_load_pattern;
using test::plain_result;

namespace {

/// Highest part of the calls that reach targets which may be rejected there.
constexpr double max_rejected = 0.05;

std::unique_ptr<limits::send_policy> shared()
{
    return std::make_unique<limits::shared_send>();
}

std::unique_ptr<limits::send_policy> immediate()
{
    return std::make_unique<limits::immediate_send>();
}

plain_result play(const plain_load_pattern& pattern, const plain_fleet::policy_factory& policy,
                  double from, double until)
{
    plain_fleet fleet{pattern, policy};
    fleet.run(until + 2.0);
    const plain_result seen = fleet.result(from, until);
    BOOST_TEST_MESSAGE(seen.calls << " calls, " << seen.in_goal << " in goal, " << seen.late
                                  << " late, " << seen.refused << " refused, " << seen.rejected
                                  << " of " << seen.arrivals << " arrivals rejected, waited up to "
                                  << core::to_milliseconds(seen.longest_wait) << " ms");
    return seen;
}

/// A burst for 10 s, from second 2, between calm.
std::function<double(double)> burst(double factor)
{
    return [factor](double now) {
        return now >= 2.0 && now < 12.0 ? factor * plain_fleet::capacity : 130.0;
    };
}

double fraction(std::size_t some, std::size_t all)
{
    return static_cast<double>(some) / static_cast<double>(std::max<std::size_t>(1, all));
}

/// Both policies under the same load.
struct comparison {
    const plain_result seen;
    const plain_result baseline;

    comparison(const plain_load_pattern& pattern, double from, double until)
        : seen{play(pattern, shared, from, until)}, baseline{play(pattern, immediate, from, until)}
    {
    }

    void check_overload() const
    {
        BOOST_TEST(fraction(seen.rejected, seen.arrivals) < max_rejected);
        BOOST_TEST(fraction(baseline.rejected, baseline.arrivals) > max_rejected);
        BOOST_TEST(seen.in_goal > baseline.in_goal);
    }
};

constexpr core::duration goal = 150ms;
constexpr core::duration deadline = 1500ms;

core::target_name target(std::size_t index)
{
    return core::target_name{"p-" + std::to_string(index)};
}

/// One instance of many before two targets, after a target was full.
struct limited_instance {
    limits::shared_send policy;
    core::instant now{10s};

    limited_instance()
    {
        policy.set_instances(100, now);
        policy.on_listed(target(0), 4);
        policy.on_listed(target(1), 4);
        static_cast<void>(ask(0));
        policy.on_answered(target(0), goal, 30ms, now);
        policy.on_rejected(target(0), now);
    }

    limits::send_decision ask(std::uint64_t number, core::duration waited = {},
                              std::uint32_t urgency = 1)
    {
        return policy.decide(limits::send_request{number,
                                                  urgency,
                                                  now - waited,
                                                  now - waited + goal,
                                                  now - waited + deadline,
                                                  {target(0), target(1)}},
                             now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(calm_calls_are_sent_as_before)
{
    const comparison calm{{.calls_per_second = [](double) { return 130.0; }}, 3.0, 13.0};
    BOOST_TEST(calm.seen.refused == 0U);
    BOOST_TEST(calm.seen.in_goal >= calm.baseline.in_goal);
}

BOOST_AUTO_TEST_CASE(queues_stay_short_at_more_than_twice_the_capacity)
{
    const comparison overload{{.calls_per_second = burst(2.2)}, 2.0, 12.0};
    overload.check_overload();
    BOOST_TEST(overload.seen.in_goal > 3 * overload.baseline.in_goal);
}

BOOST_AUTO_TEST_CASE(queues_stay_short_at_three_times_the_capacity)
{
    const comparison overload{{.calls_per_second = burst(3.0)}, 2.0, 12.0};
    overload.check_overload();
    BOOST_TEST(overload.seen.in_goal > 3 * overload.baseline.in_goal);
}

BOOST_AUTO_TEST_CASE(targets_answer_as_much_at_twice_the_capacity_as_at_the_capacity)
{
    const plain_result full = play({.calls_per_second = burst(1.0)}, shared, 2.0, 12.0);
    const plain_result twice = play({.calls_per_second = burst(2.0)}, shared, 2.0, 12.0);
    BOOST_TEST(static_cast<double>(twice.in_goal + twice.late) >=
               0.9 * static_cast<double>(full.in_goal + full.late));
    const plain_result after = play({.calls_per_second = burst(2.0)}, shared, 14.0, 16.0);
    BOOST_TEST(fraction(after.in_goal, after.calls) > 0.99);
}

BOOST_AUTO_TEST_CASE(remaining_target_stays_within_its_queue_when_two_of_three_are_lost)
{
    const comparison lost{
        {.calls_per_second = burst(1.0), .away_targets = 2, .away_from = 4.0, .away_until = 10.0},
        2.0,
        12.0};
    lost.check_overload();
}

BOOST_AUTO_TEST_CASE(all_instances_killed_in_a_burst_start_at_the_even_share)
{
    comparison{{.calls_per_second = burst(2.2), .killed_at = 6.0}, 6.0, 12.0}.check_overload();
}

BOOST_AUTO_TEST_CASE(frozen_instances_overrun_no_target_when_they_go_on)
{
    comparison{
        {.calls_per_second = burst(2.2), .frozen = 39, .frozen_from = 5.0, .frozen_until = 7.0},
        2.0,
        12.0}
        .check_overload();
}

BOOST_AUTO_TEST_CASE(nothing_is_limited_where_instances_are_fewer_than_slots)
{
    const comparison few{{.calls_per_second = burst(2.2), .instances = 10}, 2.0, 12.0};
    BOOST_TEST(few.seen.in_goal == few.baseline.in_goal);
    BOOST_TEST(few.seen.rejected == few.baseline.rejected);
}

BOOST_AUTO_TEST_CASE(limit_is_lifted_after_quiet_seconds)
{
    limited_instance instance;
    BOOST_TEST(instance.policy.limits_at(instance.now));
    instance.now += 3s;
    BOOST_TEST(!instance.policy.limits_at(instance.now));
    for (std::uint64_t number = 1; number < 20; ++number) {
        BOOST_TEST((instance.ask(number).verdict == limits::send_verdict::send));
    }
}

BOOST_AUTO_TEST_CASE(call_goes_to_the_next_target_that_has_a_share)
{
    limited_instance instance;
    instance.now += 2s;
    const auto first = instance.ask(1);
    BOOST_TEST((first.target == target(0)));
    instance.policy.on_sent(first.target, instance.now);
    const auto second = instance.ask(2);
    BOOST_TEST((second.verdict == limits::send_verdict::send));
    BOOST_TEST((second.target == target(1)));
}

BOOST_AUTO_TEST_CASE(refused_calls_are_told_consecutive_places)
{
    limited_instance instance;
    core::duration former{};
    for (std::uint64_t number = 1; number < 8; ++number) {
        const auto decision = instance.ask(number, 1400ms);
        BOOST_TEST((decision.verdict == limits::send_verdict::refuse));
        BOOST_TEST((decision.retry_after > former || decision.retry_after == 2s));
        former = decision.retry_after;
    }
}

BOOST_AUTO_TEST_CASE(urgent_call_passes_one_that_waits)
{
    limited_instance instance;
    instance.now += 550ms;
    instance.policy.on_sent(target(1), instance.now);
    // One place, which arises in time for either call.
    BOOST_TEST((instance.ask(1, {}, 5).verdict == limits::send_verdict::wait));
    BOOST_TEST((instance.ask(2, {}, 0).verdict == limits::send_verdict::wait));
    instance.now += 100ms;
    std::vector<std::uint64_t> sent;
    for (const std::uint64_t number : {1U, 2U}) {
        const auto decision = instance.ask(number, 100ms, number == 1 ? 5 : 0);
        if (decision.verdict == limits::send_verdict::send) {
            instance.policy.on_sent(decision.target, instance.now);
            sent.push_back(number);
        }
    }
    BOOST_REQUIRE(!sent.empty());
    BOOST_TEST(sent.front() == 2U);
}

RC_BOOST_PROP(calls_are_sent_with_shares_only_and_none_waits_past_its_time,
              (const std::vector<std::uint8_t>& events))
{
    limited_instance instance;
    std::map<std::uint64_t, core::instant> open;
    std::uint64_t last = 0;
    // At most the burst and what the highest rate has added since.
    const core::instant begin = instance.now;
    double sent = 0.0;
    for (const std::uint8_t event : events) {
        instance.now += std::chrono::milliseconds{event % 32};
        if (event % 8 == 0) {
            instance.policy.on_rejected(target(event / 8 % 2), instance.now);
        }
        open.emplace(++last, instance.now);
        for (auto each = open.begin(); each != open.end();) {
            const core::duration waited = instance.now - each->second;
            const auto decision = instance.ask(each->first, waited);
            RC_ASSERT(decision.verdict != limits::send_verdict::wait || waited < deadline);
            RC_ASSERT(decision.verdict != limits::send_verdict::wait ||
                      decision.ask_at > instance.now);
            RC_ASSERT(decision.verdict != limits::send_verdict::refuse ||
                      decision.retry_after > core::duration::zero());
            if (decision.verdict == limits::send_verdict::send) {
                instance.policy.on_sent(decision.target, instance.now);
                sent += 1.0;
            }
            each =
                decision.verdict == limits::send_verdict::wait ? std::next(each) : open.erase(each);
        }
        RC_ASSERT(instance.policy.waiting() == open.size());
        for (const std::size_t index : {0U, 1U}) {
            RC_ASSERT(instance.policy.rate_of(target(index)) >=
                      instance.policy.min_rate_of(target(index)) * 0.999);
        }
        const limits::share_settings bounds;
        const double highest = 2.0 * bounds.burst +
                               core::to_seconds(instance.now - begin) * bounds.max_rate *
                                   (instance.policy.min_rate_of(target(0)) / bounds.min_rate) * 2.0;
        RC_ASSERT(sent <= highest + 0.001);
    }
}

RC_BOOST_PROP(every_waiting_call_is_decided_while_others_keep_arriving,
              (const std::vector<std::uint8_t>& urgencies))
{
    limited_instance instance;
    const core::instant arrived = instance.now;
    // The least urgent call of all.
    core::cell decision{instance.ask(1, {}, 1000)};
    std::uint64_t number = 1;
    while (decision.get().verdict == limits::send_verdict::wait) {
        RC_ASSERT(instance.now - arrived < deadline);
        instance.now = decision.get().ask_at;
        const std::uint32_t urgency = urgencies.empty() ? 0U : urgencies[number % urgencies.size()];
        const auto other = instance.ask(++number, {}, urgency);
        if (other.verdict == limits::send_verdict::send) {
            instance.policy.on_sent(other.target, instance.now);
        }
        decision.set(instance.ask(1, instance.now - arrived, 1000));
    }
    RC_SUCCEED("decided");
}
