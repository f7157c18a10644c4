#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

#include "relay/least_work_chooser.hpp"
#include "routing/learnt_pace.hpp"
#include "test_fixture.hpp"

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

/// Load pattern: engines of unequal speed, a third of which slow down for a while, and short
/// moments in which any of them is slow.
struct uneven_pattern {
    const std::vector<double> factors;
    const double slowdown = 1.0;
    const double slow_from = 20.0;
    const double slow_until = 40.0;
};

/// Engines that read one prompt after the other, before an instance that asks three for their load.
class uneven_fleet {
  public:
    static constexpr std::size_t engine_count = 24;
    static constexpr std::size_t surveyed = 3;
    static constexpr double requests_per_second = 15.0;
    static constexpr std::uint64_t prompt_tokens = 5000;
    static constexpr double goal = 4.5;

    uneven_fleet(uneven_pattern pattern, std::unique_ptr<routing::pace_source> paces)
        : pattern_{std::move(pattern)}, paces_{std::move(paces)}, engines_(engine_count)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            records_.push_back(relay_fixture::target(static_cast<int>(3 * i)));
        }
    }

    void run(double seconds)
    {
        const double step = 1.0 / requests_per_second;
        for (double now = 0.0; now < seconds; now += step) {
            finish_until(now);
            place(now);
        }
        finish_until(2.0 * seconds);
    }

    /// @return requests that arrived in a time span and missed the goal
    [[nodiscard]] std::size_t late(double from, double until) const
    {
        return static_cast<std::size_t>(
            std::count_if(results_.begin(), results_.end(), [&](const result& each) {
                return each.arrived >= from && each.arrived < until && each.took > goal;
            }));
    }

    /// @return the time within which 99 in 100 requests were read, in seconds
    [[nodiscard]] double high_percentile() const
    {
        std::vector<double> times;
        for (const result& each : results_) {
            times.push_back(each.took);
        }
        std::sort(times.begin(), times.end());
        return times.at(times.size() * 99 / 100);
    }

    /// @return requests placed in a time span on the engines that slow down
    [[nodiscard]] std::size_t on_slowed(double from, double until) const
    {
        return static_cast<std::size_t>(
            std::count_if(results_.begin(), results_.end(), [&](const result& each) {
                return each.arrived >= from && each.arrived < until && slows_down(each.engine);
            }));
    }

  private:
    struct pending {
        double arrived;
        double begins;
        double ends;
        bool was_idle;
    };
    struct result {
        double arrived;
        double took;
        std::size_t engine;
    };

    const uneven_pattern pattern_;
    const std::unique_ptr<routing::pace_source> paces_;
    std::vector<relay::target_record> records_;
    std::vector<std::vector<pending>> engines_;
    std::vector<result> results_;
    std::mt19937_64 random_{20261206};

    [[nodiscard]] static bool slows_down(std::size_t engine) { return engine % 3 == 1; }
    static core::instant instant_of(double now)
    {
        return core::instant{1h} + core::from_seconds(now);
    }

    void finish_until(double now)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            std::erase_if(engines_[i], [&](const pending& each) {
                if (each.ends > now) {
                    return false;
                }
                results_.push_back(result{each.arrived, each.ends - each.arrived, i});
                if (each.was_idle) {
                    paces_->observe(
                        routing::pace_observation{records_[i].service, records_[i].name,
                                                  records_[i].started_at,
                                                  routing::pace_kind::reading, 0,
                                                  (each.ends - each.begins) / prompt_tokens},
                        instant_of(now));
                }
                return true;
            });
        }
    }

    void place(double now)
    {
        std::vector<std::size_t> asked;
        while (asked.size() < surveyed) {
            const std::size_t each = random_() % engine_count;
            if (std::find(asked.begin(), asked.end(), each) == asked.end()) {
                asked.push_back(each);
            }
        }
        const relay::local_work no_work{};
        std::vector<relay::reported_load> loads;
        loads.reserve(surveyed);
        std::vector<relay::candidate> candidates;
        for (const std::size_t each : asked) {
            loads.push_back(relay::reported_load{
                static_cast<std::uint32_t>(engines_[each].size()), 0, 0, 55000, {}, false});
            const relay::target_record& record = records_[each];
            candidates.push_back({&record, &no_work, 0.0, &loads.back(),
                                  paces_->pace_of(record.name, record.started_at, instant_of(now)),
                                  0, prompt_tokens});
        }
        relay::least_work_chooser chooser{relay::placement_settings{}};
        const std::size_t engine =
            asked[chooser.choose(candidates, core::failure_domain_name{"a"})];
        std::vector<pending>& queue = engines_[engine];
        const double begins = queue.empty() ? now : std::max(now, queue.back().ends);
        const bool slowed =
            slows_down(engine) && begins >= pattern_.slow_from && begins < pattern_.slow_until;
        const bool slow_moment = random_() % 100 < 15;
        const double takes = pattern_.factors[engine % pattern_.factors.size()] *
                             (slowed ? pattern_.slowdown : 1.0) * (slow_moment ? 1.5 : 1.0);
        queue.push_back(pending{now, begins, begins + takes, queue.empty()});
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(fewer_requests_are_late_on_engines_of_unequal_speed)
{
    const uneven_pattern pattern{{0.6, 1.0, 1.6}, 4.0};
    uneven_fleet learning{pattern, std::make_unique<routing::learnt_pace>()};
    uneven_fleet even{pattern, std::make_unique<routing::even_pace>()};
    learning.run(60.0);
    even.run(60.0);
    BOOST_TEST_MESSAGE("late " << learning.late(0, 60) << ", p99 " << learning.high_percentile()
                               << " s; baseline " << even.late(0, 60) << ", p99 "
                               << even.high_percentile() << " s");
    BOOST_TEST(learning.late(0.0, 60.0) * 2 <= even.late(0.0, 60.0));
    BOOST_TEST(learning.high_percentile() < even.high_percentile());
    // A change is followed within a few seconds, in both directions.
    BOOST_TEST(learning.on_slowed(27.0, 40.0) * 2 <= even.on_slowed(27.0, 40.0));
    BOOST_TEST(learning.on_slowed(50.0, 60.0) * 2 >= even.on_slowed(50.0, 60.0));
}

BOOST_AUTO_TEST_CASE(engines_of_equal_speed_are_served_as_before)
{
    const uneven_pattern pattern{{1.0}};
    uneven_fleet learning{pattern, std::make_unique<routing::learnt_pace>()};
    uneven_fleet even{pattern, std::make_unique<routing::even_pace>()};
    learning.run(60.0);
    even.run(60.0);
    BOOST_TEST_MESSAGE("late " << learning.late(0, 60) << ", p99 " << learning.high_percentile()
                               << " s; baseline " << even.late(0, 60) << ", p99 "
                               << even.high_percentile() << " s");
    BOOST_TEST(learning.late(0.0, 60.0) <= even.late(0.0, 60.0) + 9);
    BOOST_TEST(learning.high_percentile() <= even.high_percentile() * 1.1);
}
