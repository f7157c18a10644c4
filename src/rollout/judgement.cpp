#include "rollout/judgement.hpp"

#include <algorithm>
#include <array>
#include <numeric>

#include "core/text.hpp"
#include "rollout/sequential_test.hpp"

namespace cyclamen::rollout {

namespace {

/// The weight of the tests by stratum is divided by the number of strata, but at least by this.
constexpr double min_strata = 8;
/// Weights of the tests in the combined e-value; they add up to 1.
constexpr double weight_failures_pooled = 0.15;
constexpr double weight_failures_stratum = 0.2;
constexpr double weight_latency_pooled = 0.25;
constexpr double weight_latency_stratum = 0.05;
constexpr double weight_crashes = 0.35;
/// The old version counts as absent in a window if it has fewer requests than those of the new
/// version divided by this.
constexpr std::uint64_t absence_divisor = 20;
/// Fractions of the answers of a window that count as slow, to detect faults that affect all
/// requests as well as faults that affect few.
constexpr std::array slow_fractions{0.5, 0.25, 0.08};
/// Fraction of the answers of a window that counts as slow within one stratum.
constexpr double stratum_slow_fraction = 0.5;
/// Fraction of the answers of earlier windows above the latency bound that is used while the old
/// version is absent.
constexpr double baseline_slow_fraction = 0.05;
/// Margin added to that bound, in buckets: one doubling of the latency.
constexpr std::size_t baseline_margin_buckets = 2;
/// Crash rate of a good target: one in four hours.
constexpr double crash_rate_per_second = 1.0 / (4 * 3600);
/// Odds ratio of crashes up to which the versions count as equal.
constexpr double crash_tolerance = 1;
/// E-value of the crash test alone from which on a version doesn't count as proven; two crashes of
/// few targets reach it.
constexpr double crash_suspicion = 8;
/// A stratum with a smaller fraction of the requests needs no proof of its own.
constexpr double min_stratum_fraction = 0.02;

constexpr std::size_t cohorts = 2;

/// Requests of one arm in one window and stratum.
struct arm_sums {
    std::array<const cell_sum*, cohorts> by_cohort{};

    [[nodiscard]] std::uint64_t attempts() const
    {
        return sum([](const cell_sum& cohort_sum) { return cohort_sum.attempts; });
    }
    [[nodiscard]] std::uint64_t failures() const
    {
        return sum([](const cell_sum& cohort_sum) { return cohort_sum.failures; });
    }

  private:
    template <class Field>
    std::uint64_t sum(Field field) const
    {
        std::uint64_t total = 0;
        for (const cell_sum* cohort_sum : by_cohort) {
            total += cohort_sum == nullptr ? 0 : field(*cohort_sum);
        }
        return total;
    }
};

std::uint64_t total_count(const api::latency_histogram& histogram)
{
    return std::accumulate(histogram.begin(), histogram.end(), std::uint64_t{0});
}

std::uint64_t count_from_bucket(const api::latency_histogram& histogram, std::size_t first)
{
    std::uint64_t total = 0;
    for (std::size_t i = first; i < histogram.size(); ++i) {
        total += histogram.at(i);
    }
    return total;
}

/// @return the lowest bucket such that at most this fraction of the answers lies in it or above
std::size_t bucket_bound(const api::latency_histogram& histogram, double fraction)
{
    const double max_above = fraction * static_cast<double>(total_count(histogram));
    std::size_t bucket = histogram.size();
    std::uint64_t above = 0;
    while (bucket > 0 && static_cast<double>(above + histogram.at(bucket - 1)) <= max_above) {
        --bucket;
        above += histogram.at(bucket);
    }
    return bucket;
}

void add_to(api::latency_histogram& sum, const api::latency_histogram& added)
{
    std::transform(sum.begin(), sum.end(), added.begin(), sum.begin(), std::plus<>{});
}

/// Compares how many answers of each version lie above a bound taken from both versions together.
void compare_latency(sequential_test& test, double slow_fraction,
                     const api::latency_histogram& from, const api::latency_histogram& to)
{
    api::latency_histogram pooled = from;
    add_to(pooled, to);
    const std::size_t bound = bucket_bound(pooled, slow_fraction);
    test.add({count_from_bucket(to, bound), total_count(to), count_from_bucket(from, bound),
              total_count(from)});
}

/// Latency test over all strata together, for requests concentrated on few targets. Both bursts of
/// a period have the same mix of requests, so the strata need not be kept apart.
class concentrated_latency {
  public:
    explicit concentrated_latency(double tolerance)
        : tests_{sequential_test{tolerance}, sequential_test{tolerance}, sequential_test{tolerance}}
    {
    }

    void add(const arm_sums& from, const arm_sums& to)
    {
        constexpr auto index = static_cast<std::size_t>(api::cohort::concentrated);
        add_sum(from_, from.by_cohort.at(index));
        add_sum(to_, to.by_cohort.at(index));
    }

    void end_window()
    {
        for (std::size_t i = 0; i < slow_fractions.size(); ++i) {
            tests_.at(i).open_window();
            compare_latency(tests_.at(i), slow_fractions.at(i), from_, to_);
        }
        from_ = {};
        to_ = {};
    }

    /// @return the mean of the e-values
    [[nodiscard]] double e_value() const
    {
        double sum = 0;
        for (const sequential_test& test : tests_) {
            sum += test.e_value();
        }
        return sum / static_cast<double>(tests_.size());
    }

  private:
    std::array<sequential_test, slow_fractions.size()> tests_;
    api::latency_histogram from_{};
    api::latency_histogram to_{};

    static void add_sum(api::latency_histogram& sum, const cell_sum* added)
    {
        if (added != nullptr) {
            add_to(sum, added->first_token);
        }
    }
};

/// The tests of one stratum, with the sums of the old version over earlier windows as baseline.
class stratum_tests {
  public:
    explicit stratum_tests(double tolerance) : failures_{tolerance}, latency_{tolerance} {}

    /// Adds one window.
    /// @param from sums of the old version in the window
    /// @param to sums of the new version in the same window
    /// @param pooled_failures failure test of all strata together
    void add(const arm_sums& from, const arm_sums& to, sequential_test& pooled_failures)
    {
        requests_ += to.attempts();
        failures_.open_window();
        latency_.open_window();
        add_failures(from, to, failures_);
        add_failures(from, to, pooled_failures);
        add_latency(from, to);
        baseline_attempts_ += from.attempts();
        baseline_failures_ += from.failures();
        for (const cell_sum* sum : from.by_cohort) {
            if (sum != nullptr) {
                add_to(baseline_latency_, sum->first_token);
            }
        }
    }

    [[nodiscard]] const sequential_test& failures() const { return failures_; }
    [[nodiscard]] const sequential_test& latency() const { return latency_; }
    /// @return requests of the new version
    [[nodiscard]] std::uint64_t requests() const { return requests_; }

  private:
    sequential_test failures_;
    sequential_test latency_;
    std::uint64_t requests_ = 0;
    std::uint64_t baseline_attempts_ = 0;
    std::uint64_t baseline_failures_ = 0;
    api::latency_histogram baseline_latency_{};

    void add_failures(const arm_sums& from, const arm_sums& to, sequential_test& test) const
    {
        if (from.attempts() * absence_divisor < to.attempts()) {
            // Estimates the failure rate of the old version with a prior of one failure in 100
            // attempts, and allows twice that rate.
            constexpr double prior_attempts = 100;
            constexpr double highest_rate = 0.5;
            const double rate = 2 * (static_cast<double>(baseline_failures_) + 1) /
                                (static_cast<double>(baseline_attempts_) + prior_attempts);
            test.add_against_rate(to.failures(), to.attempts(), std::min(rate, highest_rate));
            return;
        }
        test.add({to.failures(), to.attempts(), from.failures(), from.attempts()});
    }

    void add_latency(const arm_sums& from, const arm_sums& to)
    {
        for (std::size_t i = 0; i < cohorts; ++i) {
            const cell_sum* new_sum = to.by_cohort.at(i);
            const cell_sum* old_sum = from.by_cohort.at(i);
            if (new_sum == nullptr) {
                continue;
            }
            // The latencies are comparable only on few targets at full load, where both versions
            // have the same load.
            if (i == static_cast<std::size_t>(api::cohort::concentrated) && old_sum != nullptr) {
                compare_latency(latency_, stratum_slow_fraction, old_sum->first_token,
                                new_sum->first_token);
            }
            else if (i == static_cast<std::size_t>(api::cohort::spread)) {
                compare_with_baseline(*new_sum);
            }
        }
    }

    void compare_with_baseline(const cell_sum& to)
    {
        if (total_count(baseline_latency_) == 0) {
            return;
        }
        const std::size_t bound =
            bucket_bound(baseline_latency_, baseline_slow_fraction) + baseline_margin_buckets;
        latency_.add_against_rate(count_from_bucket(to.first_token, bound),
                                  total_count(to.first_token), baseline_slow_fraction);
    }
};

/// Runs the tests of all strata of one rollout.
class rollout_tests {
  public:
    rollout_tests(const judgement_settings& settings, const model::rollout_key& rollout,
                  const evidence& observed)
        : settings_{settings}, failures_{settings.tolerance}, latency_{settings.tolerance},
          crashes_{crash_tolerance}
    {
        const auto first = observed.first_window(rollout);
        if (first.has_value()) {
            add_cells(rollout, *first, observed);
            add_targets(rollout, *first, observed);
        }
    }

    [[nodiscard]] std::uint64_t requests() const
    {
        std::uint64_t total = 0;
        for (const auto& [name, tests] : strata_) {
            total += tests.requests();
        }
        return total;
    }

    [[nodiscard]] bool has_enough() const
    {
        const double min_requests = min_stratum_fraction * static_cast<double>(requests());
        return !strata_.empty() &&
               std::all_of(strata_.begin(), strata_.end(), [&](const auto& each) {
                   return each.second.requests() >= settings_.proof_requests ||
                          static_cast<double>(each.second.requests()) < min_requests;
               });
    }

    /// @return weighted e-values of failures, latency and crashes
    [[nodiscard]] std::array<double, 3> e_values() const
    {
        double failures_by_stratum = 0;
        double latency_by_stratum = 0;
        for (const auto& [name, tests] : strata_) {
            failures_by_stratum += tests.failures().e_value();
            latency_by_stratum += tests.latency().e_value();
        }
        const double count = std::max(min_strata, static_cast<double>(strata_.size()));
        return {weight_failures_pooled * failures_.e_value() +
                    weight_failures_stratum * failures_by_stratum / count,
                weight_latency_pooled * latency_.e_value() +
                    weight_latency_stratum * latency_by_stratum / count,
                weight_crashes * crashes_.e_value()};
    }

    [[nodiscard]] bool crashes_are_suspect() const { return crashes_.e_value() >= crash_suspicion; }

    /// @return the stratum with the largest e-value, as text
    [[nodiscard]] std::string worst_stratum(api::veto_reason reason) const
    {
        const auto value = [&](const stratum_tests& tests) {
            return reason == api::veto_reason::latency ? tests.latency().e_value()
                                                       : tests.failures().e_value();
        };
        const auto worst = std::max_element(strata_.begin(), strata_.end(),
                                            [&](const auto& left, const auto& right) {
                                                return value(left.second) < value(right.second);
                                            });
        if (worst == strata_.end()) {
            return "none";
        }
        return core::concat(worst->first.route.str(), " [", to_string(worst->first.labels), "]");
    }

  private:
    const judgement_settings& settings_;
    std::map<api::stratum, stratum_tests> strata_;
    sequential_test failures_;
    concentrated_latency latency_;
    sequential_test crashes_;

    void add_cells(const model::rollout_key& rollout, api::window_number first,
                   const evidence& observed)
    {
        const api::evidence_cell begin{
            rollout, first, {}, api::rollout_arm::from, api::cohort::spread};
        const auto& cells = observed.cells();
        auto next = cells.lower_bound(begin);
        std::optional<api::window_number> window;
        while (next != cells.end() && next->first.rollout == rollout) {
            std::array<arm_sums, 2> arms;
            const api::evidence_cell& group = next->first;
            if (window != group.window) {
                window = group.window;
                failures_.open_window();
            }
            for (; next != cells.end() && next->first.rollout == rollout &&
                   next->first.window == group.window && next->first.stratum == group.stratum;
                 ++next) {
                const auto arm = static_cast<std::size_t>(next->first.arm);
                const auto cohort = static_cast<std::size_t>(next->first.cohort);
                arms.at(arm).by_cohort.at(cohort) = &next->second;
            }
            strata_.try_emplace(group.stratum, settings_.tolerance)
                .first->second.add(arms.front(), arms.back(), failures_);
            latency_.add(arms.front(), arms.back());
            const bool window_ends = next == cells.end() || next->first.rollout != rollout ||
                                     next->first.window != group.window;
            if (window_ends) {
                latency_.end_window();
            }
        }
    }

    void add_targets(const model::rollout_key& rollout, api::window_number first,
                     const evidence& observed)
    {
        constexpr auto seconds =
            static_cast<std::uint64_t>(window_length / std::chrono::seconds{1});
        const api::target_cell begin{rollout, first, api::rollout_arm::from, core::target_name{}};
        const auto& cells = observed.targets();
        auto next = cells.lower_bound(begin);
        while (next != cells.end() && next->first.rollout == rollout) {
            crashes_.open_window();
            const api::window_number window = next->first.window;
            std::array<std::uint64_t, 2> crashes{};
            std::array<std::uint64_t, 2> exposure{};
            for (; next != cells.end() && next->first.rollout == rollout &&
                   next->first.window == window;
                 ++next) {
                const auto arm = static_cast<std::size_t>(next->first.arm);
                crashes.at(arm) += std::min(next->second.blamed(), seconds);
                exposure.at(arm) += seconds;
            }
            if (exposure.front() == 0) {
                crashes_.add_against_rate(crashes.back(), exposure.back(), crash_rate_per_second);
            }
            else {
                crashes_.add({crashes.back(), exposure.back(), crashes.front(), exposure.front()});
            }
        }
    }
};

std::string_view describe(api::veto_reason reason)
{
    switch (reason) {
    case api::veto_reason::failures:
        return "more failures than the old version";
    case api::veto_reason::latency:
        return "slower first tokens than the old version";
    case api::veto_reason::crashes:
        return "more crashes of targets than the old version";
    case api::veto_reason::by_operator:
        break;
    }
    return "taken back by an operator";
}

finding to_finding(const rollout_tests& tests, const std::array<double, 3>& e_values)
{
    const auto largest = std::max_element(e_values.begin(), e_values.end());
    const auto reason = static_cast<api::veto_reason>(largest - e_values.begin());
    std::string text = core::concat(describe(reason), ", e-value ", *largest, " after ",
                                    tests.requests(), " requests");
    if (reason != api::veto_reason::crashes) {
        core::append(text, ", worst on ", tests.worst_stratum(reason));
    }
    return {reason, std::move(text)};
}

} // namespace

judgement judge(const judgement_settings& settings, const model::rollout_key& rollout,
                const evidence& observed, core::wall_time now)
{
    const rollout_tests tests{settings, rollout, observed};
    const std::array<double, 3> e_values = tests.e_values();
    const double total = std::accumulate(e_values.begin(), e_values.end(), 0.0);
    std::optional<finding> fault;
    if (total >= 1 / settings.false_alarm_rate) {
        fault.emplace(to_finding(tests, e_values));
    }
    const auto first = observed.first_window(rollout);
    const bool long_enough =
        first.has_value() && now - start_of(*first) >= settings.min_exposure_time + window_length;
    const bool proven = long_enough && !fault.has_value() && total < settings.suspicion &&
                        !tests.crashes_are_suspect() && tests.has_enough();
    return {total, std::move(fault), proven, tests.requests()};
}

} // namespace cyclamen::rollout
