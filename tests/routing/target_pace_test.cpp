#include "routing/target_pace.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "routing/learnt_pace.hpp"
#include "routing/stream_pace.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

const routing::pace_settings settings;
const core::instant begin{1h};
const core::service_name service{"engines"};
const core::wall_time born{1s};

core::target_name name_of(int index)
{
    return core::target_name{"t-" + std::to_string(index)};
}

routing::pace_observation reading(int target, double seconds, core::wall_time started_at = born)
{
    return routing::pace_observation{
        service, name_of(target), started_at, routing::pace_kind::reading, 0, seconds};
}

/// @return a factor between 1/4 and 4
rc::Gen<double> factors()
{
    return rc::gen::map(rc::gen::inRange(-200, 200),
                        [](int step) { return std::exp2(step / 100.0); });
}

rc::Gen<routing::target_pace> paces()
{
    return rc::gen::map(rc::gen::tuple(factors(), rc::gen::inRange(1, 60), rc::gen::inRange(0, 99)),
                        [](const std::tuple<double, int, int>& parts) {
                            return routing::target_pace{std::get<0>(parts),
                                                        std::get<1>(parts) / 10.0,
                                                        begin + std::get<2>(parts) * 100ms};
                        });
}

} // namespace

RC_BOOST_PROP(the_order_of_merges_does_not_change_the_result, ())
{
    const auto reports =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<routing::target_pace>>(paces()));
    const auto merge_all = [](const std::vector<routing::target_pace>& all) {
        routing::target_pace merged;
        for (const routing::target_pace& each : all) {
            merged = merged.merged(each);
        }
        return merged;
    };
    const routing::target_pace merged = merge_all(reports);
    std::vector<routing::target_pace> reversed{reports.rbegin(), reports.rend()};
    RC_ASSERT(merge_all(reversed) == merged);
    // News that arrive twice count once.
    reversed.insert(reversed.end(), reports.begin(), reports.end());
    RC_ASSERT(merge_all(reversed) == merged);
}

RC_BOOST_PROP(factor_and_weight_stay_within_what_was_observed, ())
{
    routing::target_pace pace;
    core::instant now = begin;
    double low = 1.0;
    double high = 1.0;
    for (const double each : *rc::gen::container<std::vector<double>>(factors())) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 3000)};
        pace = pace.observed(each, 1.0, now, settings);
        low = std::min(low, each);
        high = std::max(high, each);
        RC_ASSERT(pace.weight(now, settings) <= settings.max_weight);
    }
    RC_ASSERT(pace.factor(now, settings) >= low - 1e-9);
    RC_ASSERT(pace.factor(now, settings) <= high + 1e-9);
}

RC_BOOST_PROP(observations_close_together_count_the_same_in_any_order, ())
{
    // Within the ratio from which a target may have changed.
    auto seen = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 40));
    const auto factor_after = [](const std::vector<int>& percents) {
        routing::target_pace pace;
        for (const int each : percents) {
            pace = pace.observed(1.2 + each / 100.0, 1.0, begin, settings);
        }
        return pace.mean_factor();
    };
    const double forwards = factor_after(seen);
    std::reverse(seen.begin(), seen.end());
    RC_ASSERT(std::abs(std::log(factor_after(seen) / forwards)) < 1e-9);
}

BOOST_AUTO_TEST_CASE(factor_returns_to_one_with_age)
{
    routing::target_pace pace;
    for (int i = 0; i < 10; ++i) {
        pace = pace.observed(3.0, 1.0, begin, settings);
    }
    BOOST_TEST(pace.factor(begin, settings) > 2.5);
    BOOST_TEST(pace.factor(begin + 20s, settings) > 1.5);
    BOOST_TEST(pace.factor(begin + 20s, settings) < pace.factor(begin, settings));
    BOOST_TEST(pace.factor(begin + 2min, settings) == 1.0);
}

BOOST_AUTO_TEST_CASE(noise_leaves_the_factor_at_one_and_a_change_is_followed_in_two_observations)
{
    routing::target_pace pace;
    core::instant now = begin;
    for (int i = 0; i < 40; ++i) {
        now += 1s;
        pace = pace.observed(i % 2 == 0 ? 0.85 : 1.18, 1.0, now, settings);
        BOOST_TEST(pace.factor(now, settings) == 1.0);
    }
    // A single outlier is no change.
    pace = pace.observed(2.5, 1.0, now, settings);
    BOOST_TEST(pace.factor(now, settings) < 1.4);
    for (int i = 0; i < 10; ++i) {
        pace = pace.observed(1.0, 1.0, now += 1s, settings);
    }
    for (int i = 0; i < 2; ++i) {
        pace = pace.observed(4.0, 1.0, now += 1s, settings);
    }
    BOOST_TEST(pace.factor(now, settings) > 2.0);
    for (int i = 0; i < 3; ++i) {
        pace = pace.observed(1.0, 1.0, now += 1s, settings);
    }
    BOOST_TEST(pace.factor(now, settings) < 1.5);
}

BOOST_AUTO_TEST_CASE(limit_falls_where_a_target_slows_down_and_rises_again)
{
    routing::request_limit limit;
    core::instant now = begin;
    for (std::uint32_t running = 1; running <= 7; ++running) {
        limit = limit.observed(running, 1.0, now += 1s, settings);
    }
    BOOST_TEST(limit.value(now, settings) == 0U);
    limit = limit.observed(12, 3.0, now += 1s, settings);
    BOOST_TEST(limit.value(now, settings) == 9U);
    limit = limit.observed(9, 1.0, now += 1s, settings);
    BOOST_TEST(limit.value(now, settings) == 10U);
    BOOST_TEST(limit.value(now + settings.limit_age, settings) == 0U);
    // Slow at a few requests as well: their number is not the cause.
    limit = limit.observed(2, 3.0, now += 1s, settings);
    BOOST_TEST(limit.value(now, settings) == 0U);
}

BOOST_AUTO_TEST_CASE(pace_is_that_of_the_incarnation)
{
    routing::learnt_pace paces;
    core::instant now = begin;
    for (int i = 0; i < 40; ++i) {
        paces.observe(reading(i % 4, i % 4 == 0 ? 3.0 : 1.0), now += 100ms);
    }
    BOOST_TEST(paces.pace_of(name_of(0), born, now) > 1.8);
    BOOST_TEST(paces.pace_of(name_of(1), born, now) == 1.0);
    BOOST_TEST(paces.known_uneven(now) == 1U);
    const core::wall_time reborn = born + 5s;
    BOOST_TEST(paces.pace_of(name_of(0), reborn, now) == 1.0);
    paces.observe(reading(0, 1.0, reborn), now += 100ms);
    BOOST_TEST(paces.pace_of(name_of(0), reborn, now) == 1.0);
    // What others know of the earlier incarnation no longer counts.
    paces.learn({routing::pace_report{name_of(0), born, 4.0, 6.0, 0s}}, now);
    BOOST_TEST(paces.pace_of(name_of(0), reborn, now) == 1.0);
    BOOST_TEST(paces.pace_of(name_of(0), born, now) == 1.0);
}

BOOST_AUTO_TEST_CASE(news_are_taken_once_and_learnt_by_an_instance_that_saw_nothing)
{
    routing::learnt_pace observer;
    core::instant now = begin;
    for (int i = 0; i < 40; ++i) {
        observer.observe(reading(i % 4, i % 4 == 0 ? 3.0 : 1.0), now += 100ms);
    }
    const auto news = observer.take_news(3, now);
    BOOST_TEST(news.size() == 3U);
    const auto rest = observer.take_news(3, now);
    BOOST_TEST(rest.size() == 1U);
    BOOST_TEST(observer.take_news(3, now).empty());
    // The clocks of instances differ.
    const core::instant elsewhere = begin + 24h;
    routing::learnt_pace other;
    other.learn(rest, elsewhere);
    other.learn(news, elsewhere);
    BOOST_TEST(other.pace_of(name_of(0), born, elsewhere) > 1.8);
    BOOST_TEST(other.pace_of(name_of(1), born, elsewhere) == 1.0);
    BOOST_TEST(other.take_news(3, elsewhere).empty());
    BOOST_TEST(other.pace_of(name_of(0), born, elsewhere + 2min) == 1.0);
}

BOOST_AUTO_TEST_CASE(time_per_event_leaves_out_pauses_for_other_prompts)
{
    routing::stream_pace measured;
    core::instant now = begin;
    std::optional<core::duration> result;
    for (int event = 0; event <= 40; ++event) {
        BOOST_TEST(!result.has_value());
        now += event >= 15 && event < 30 ? 160ms : 32ms;
        result = measured.add(1, now);
    }
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(core::to_milliseconds(*result) == 32.0);
}
