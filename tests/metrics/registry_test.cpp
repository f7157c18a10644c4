#include "metrics/registry.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cyclamen;

namespace {

metrics::series_labels labels(const std::string& account, std::uint32_t priority_class = 0)
{
    return metrics::series_labels{core::account_name{account}, core::service_name{"notices"},
                                  priority_class};
}

} // namespace

BOOST_AUTO_TEST_CASE(each_account_and_class_has_its_own_series)
{
    metrics::registry registry;
    registry.histogram_of("first_token", labels("chain")).add(std::chrono::milliseconds{10});
    registry.histogram_of("first_token", labels("chain", 1)).add(std::chrono::seconds{1});
    registry.histogram_of("first_token", labels("small")).add(std::chrono::seconds{1});
    BOOST_TEST(registry.histogram_of("first_token", labels("chain")).summary().count == 1U);
    const std::string text = registry.text();
    BOOST_TEST(text.find("cyclamencourse_first_token_seconds_count{account=\"chain\",service="
                         "\"notices\",class=\"1\"} 1\n") != std::string::npos,
               text);
}

BOOST_AUTO_TEST_CASE(series_past_the_bound_are_counted_and_not_merged_into_others)
{
    metrics::registry registry{2};
    registry.counter_of("refusals", labels("a")).add();
    registry.counter_of("refusals", labels("b")).add();
    registry.counter_of("refusals", labels("c")).add(7);
    registry.counter_of("refusals", labels("a")).add();
    BOOST_TEST(registry.series_count() == 2U);
    BOOST_TEST(registry.counter_of("refusals", labels("a")).value() == 2U);
    const std::string text = registry.text();
    BOOST_TEST(text.find("series_left_out_total 1\n") != std::string::npos, text);
    BOOST_TEST(text.find("account=\"c\"") == std::string::npos, text);
}

RC_BOOST_PROP(bucket_counts_match_direct_counting, ())
{
    const auto samples = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 200'000'000));
    metrics::histogram distribution;
    for (const std::uint32_t sample : samples) {
        distribution.add(std::chrono::microseconds{sample});
    }
    const metrics::histogram_summary summary = distribution.summary();
    RC_ASSERT(summary.count == samples.size());
    for (const metrics::bucket& each : summary.buckets) {
        // The logarithmic axis may round a sample that lies on a bound to either side of it.
        const auto below = [&](std::int64_t slack) {
            return static_cast<std::uint64_t>(std::ranges::count_if(samples, [&](auto sample) {
                return std::chrono::microseconds{sample} <
                       each.bound + std::chrono::microseconds{slack};
            }));
        };
        RC_ASSERT(each.count_below >= below(-1) && each.count_below <= below(1));
    }
}

BOOST_AUTO_TEST_CASE(quantile_estimates_are_within_5_percent_for_a_uniform_distribution)
{
    metrics::histogram distribution;
    for (int i = 0; i < 10'000; ++i) {
        // 7919 is coprime to 10,000, so every value occurs once, out of order.
        distribution.add(std::chrono::microseconds{(i * 7919) % 10'000});
    }
    const metrics::histogram_summary summary = distribution.summary();
    BOOST_TEST(core::to_milliseconds(summary.median) == 5.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(core::to_milliseconds(summary.p95) == 9.5, boost::test_tools::tolerance(0.05));
    BOOST_TEST(core::to_milliseconds(summary.p99) == 9.9, boost::test_tools::tolerance(0.05));
}
