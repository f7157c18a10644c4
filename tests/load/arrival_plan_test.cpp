#include "load/arrival_plan.hpp"

#include <boost/test/unit_test.hpp>

#include "load/load_report.hpp"

using namespace cyclamen;

namespace {

load::load_settings make_settings(std::uint64_t seed)
{
    return load::load_settings{seed,     100,      std::chrono::seconds{10},
                               100'000,  "m",      {{"large", 9}, {"small", 1}},
                               {10, 20}, {50, 60}, 0.1,
                               0.3,      0.5,      5,
                               3};
}

} // namespace

BOOST_AUTO_TEST_CASE(plan_is_determined_by_its_settings)
{
    const auto plan = load::plan_arrivals(make_settings(1));
    BOOST_TEST((plan == load::plan_arrivals(make_settings(1))));
    BOOST_TEST((plan != load::plan_arrivals(make_settings(2))));
}

BOOST_AUTO_TEST_CASE(plan_follows_the_rate_lengths_and_weights)
{
    const auto plan = load::plan_arrivals(make_settings(1));
    BOOST_TEST(plan.size() > 800U);
    BOOST_TEST(plan.size() < 1200U);
    std::size_t of_large = 0;
    core::duration last{};
    for (const load::planned_request& each : plan) {
        BOOST_TEST((each.at >= last));
        last = each.at;
        const bool is_short = each.max_tokens >= 10 && each.max_tokens <= 20;
        const bool is_long = each.max_tokens >= 50 && each.max_tokens <= 60;
        BOOST_TEST((is_short || is_long));
        of_large += each.account == 0 ? 1 : 0;
    }
    BOOST_TEST(of_large > plan.size() * 8 / 10);
}

BOOST_AUTO_TEST_CASE(quantile_uses_the_nearest_rank)
{
    std::vector<core::duration> sorted;
    for (int i = 1; i <= 100; ++i) {
        sorted.push_back(core::duration{i});
    }
    BOOST_TEST(load::quantile(sorted, 0.95).count() == 95);
    BOOST_TEST(load::quantile(sorted, 1.0).count() == 100);
    BOOST_TEST(load::quantile({}, 0.5).count() == 0);
}
