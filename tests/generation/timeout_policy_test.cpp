#include "generation/adaptive_timeout_policy.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cyclamen;

namespace {

const core::service_name service{"notices"};
const core::version_name version{"v1"};

generation::attempt_subject subject_of(std::uint64_t words, std::string name = "v1")
{
    return generation::attempt_subject{
        service, core::version_name{std::move(name)}, {}, "notices/stream", {}, {}, false, words};
}

core::duration gap_limit_after(core::duration gap, int count)
{
    generation::adaptive_timeout_policy policy;
    for (int i = 0; i < count; ++i) {
        policy.on_gap(subject_of(10), gap, core::instant{});
    }
    return policy.token_gap_limit({service, version, 10});
}

} // namespace

BOOST_AUTO_TEST_CASE(a_quantile_is_at_most_an_eighth_of_an_octave_too_high)
{
    const bool holds = rc::check("quantile", [] {
        const auto samples = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<int>>(rc::gen::inRange(20, 10'000'000)));
        generation::duration_histogram histogram;
        for (const int sample : samples) {
            histogram.add(std::chrono::microseconds{sample});
        }
        auto sorted = samples;
        std::sort(sorted.begin(), sorted.end());
        const double median = sorted[(sorted.size() - 1) / 2];
        const double found = core::to_milliseconds(*histogram.quantile(0.5)) * 1000.0;
        RC_ASSERT(found >= median * 0.999);
        RC_ASSERT(found <= median * 1.0906);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(the_gap_limit_follows_the_observed_gaps_within_its_bounds)
{
    const generation::adaptive_timeout_settings settings;
    generation::adaptive_timeout_policy unknown;
    BOOST_TEST((unknown.token_gap_limit({service, version, 10}) == settings.initial_gap_limit));
    BOOST_TEST((gap_limit_after(std::chrono::milliseconds{2}, 200) == settings.min_gap_limit));
    BOOST_TEST((gap_limit_after(std::chrono::seconds{3}, 200) == settings.max_gap_limit));
    const core::duration between = gap_limit_after(std::chrono::milliseconds{100}, 200);
    BOOST_TEST((between >= std::chrono::milliseconds{400}));
    BOOST_TEST((between <= std::chrono::milliseconds{500}));
}

BOOST_AUTO_TEST_CASE(a_version_that_slows_down_gets_a_longer_limit)
{
    generation::adaptive_timeout_policy policy;
    for (int i = 0; i < 4000; ++i) {
        policy.on_gap(subject_of(10), std::chrono::milliseconds{10}, core::instant{});
    }
    const core::duration before = policy.token_gap_limit({service, version, 10});
    for (int i = 0; i < 200; ++i) {
        policy.on_gap(subject_of(10), std::chrono::milliseconds{120}, core::instant{});
    }
    BOOST_TEST((policy.token_gap_limit({service, version, 10}) > before));
    // Other versions have their own limits.
    const core::version_name other{"v2"};
    BOOST_TEST((policy.token_gap_limit({service, other, 10}) ==
                generation::adaptive_timeout_settings{}.initial_gap_limit));
}

BOOST_AUTO_TEST_CASE(the_first_token_limit_grows_with_the_prompt)
{
    generation::adaptive_timeout_policy policy;
    const generation::adaptive_timeout_settings settings;
    BOOST_TEST(
        (policy.first_token_limit({service, version, 1000}) == settings.initial_first_token_limit));
    for (int i = 0; i < 100; ++i) {
        policy.on_first_token(subject_of(1000), std::chrono::milliseconds{200}, core::instant{});
    }
    const core::duration known = policy.first_token_limit({service, version, 1000});
    BOOST_TEST((known >= std::chrono::milliseconds{800}));
    BOOST_TEST((known <= std::chrono::milliseconds{1000}));
    BOOST_TEST((policy.first_token_limit({service, version, 4000}) > known));
    BOOST_TEST((policy.first_token_limit({service, version, 4'000'000}) ==
                settings.max_first_token_limit));
}
