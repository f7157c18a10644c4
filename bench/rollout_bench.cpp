#include <algorithm>
#include <iostream>
#include <map>
#include <numeric>
#include <vector>

#include <docopt/docopt.h>

#include "bench/rollout_case.hpp"
#include "core/text.hpp"
#include "rollout/clock_policy.hpp"
#include "rollout/evidence_policy.hpp"

using namespace cyclamen;

namespace {

constexpr const char* usage = R"(Measures rollout policies in virtual time.

Usage:
  rollout_bench [--cases N] [--seed S] [--kind KIND] [--verbose]

Options:
  --cases N    Number of cases of each kind of fault [default: 500].
  --seed S     Seed of the first case [default: 1].
  --kind KIND  Measure only this kind of fault.
  --verbose    Print each case that misses its goal.
)";

/// Results of one policy for all cases of one kind of fault.
using case_results = std::vector<bench::case_result>;

/// @return fraction of the cases in which a member is true
double fraction(const case_results& all, bool bench::case_result::*member)
{
    const auto count = std::count_if(
        all.begin(), all.end(), [&](const bench::case_result& result) { return result.*member; });
    return static_cast<double>(count) / static_cast<double>(all.size());
}

double largest_share(const case_results& all)
{
    double largest = 0;
    for (const auto& result : all) {
        largest = std::max(largest, result.largest_share);
    }
    return largest;
}

/// @return quantile of the stop delays in seconds; a version that wasn't taken back counts as an
/// infinite delay
double stop_delay(const case_results& all, double quantile)
{
    constexpr double never = 1e9;
    std::vector<double> delays;
    for (const auto& result : all) {
        delays.push_back(result.stop_delay.value_or(never));
    }
    std::sort(delays.begin(), delays.end());
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(delays.size() - 1));
    return delays.at(index);
}

/// Prints one JSON line per measure.
class reporter {
  public:
    reporter(std::string_view deployment, std::uint64_t seed) : deployment_{deployment}, seed_{seed}
    {
    }

    void print(std::string_view measure, bench::fault_kind kind, double standard, double naive,
               double bound, std::string_view unit) const
    {
        std::cout
            << fmt::format(
                   "{{\"measure\":\"{}.{}\",\"deployment\":\"{}\",\"ours\":{:.5g},\"naive\":{:.5g},"
                   "\"bound\":{},\"unit\":\"{}\",\"seed\":{}}}\n",
                   measure, bench::to_string(kind), deployment_, standard, naive, bound, unit,
                   seed_)
            << std::flush;
    }

  private:
    std::string_view deployment_;
    std::uint64_t seed_;
};

/// Runs all cases of one kind of fault with one policy.
/// @param classifies true if failures of stores are told apart from faults of the version
case_results run(const rollout::share_policy& policy, bool classifies,
                 const bench::deployment& sizes, bench::fault_kind kind, std::uint64_t seed,
                 std::uint64_t cases, bool verbose)
{
    case_results all;
    for (std::uint64_t i = 0; i < cases; ++i) {
        all.push_back(bench::run_case(policy, classifies, sizes, kind, seed + i));
        const auto& last = all.back();
        const bool missed = kind == bench::fault_kind::none
                                ? !last.moved_in_time || last.taken_back
                                : !last.taken_back || last.stop_delay.value_or(0) > 10;
        if (verbose && classifies && missed) {
            std::cerr << bench::to_string(kind) << " seed " << seed + i << ": moved "
                      << last.moved_in_time << ", taken back " << last.taken_back << ", delay "
                      << last.stop_delay.value_or(-1) << ", share " << last.largest_share << ", "
                      << last.reason << "\n";
        }
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto cases = static_cast<std::uint64_t>(arguments.at("--cases").asLong());
    const auto seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    const bool verbose = arguments.at("--verbose").asBool();
    const rollout::evidence_policy standard{{}, {}};
    const rollout::clock_policy naive{{}};
    const bench::deployment& sizes = bench::lantern;
    const reporter out{sizes.name, seed};
    for (const bench::fault_kind kind : bench::all_faults) {
        if (arguments.at("--kind") && arguments.at("--kind").asString() != to_string(kind)) {
            continue;
        }
        const case_results standard_results =
            run(standard, true, sizes, kind, seed, cases, verbose);
        const case_results naive_results = run(naive, false, sizes, kind, seed, cases, verbose);
        using bench::case_result;
        const double standard_taken_back = fraction(standard_results, &case_result::taken_back);
        const double naive_taken_back = fraction(naive_results, &case_result::taken_back);
        if (kind == bench::fault_kind::none) {
            out.print("moved_in_time", kind,
                      fraction(standard_results, &case_result::moved_in_time),
                      fraction(naive_results, &case_result::moved_in_time), 0.99, "part");
            out.print("taken_back", kind, standard_taken_back, naive_taken_back, 0.01, "part");
            continue;
        }
        constexpr double p95 = 0.95;
        out.print("taken_back", kind, standard_taken_back, naive_taken_back, 0.99, "part");
        out.print("largest_share", kind, largest_share(standard_results),
                  largest_share(naive_results), 0.05, "part");
        out.print("stop_delay_p95", kind, stop_delay(standard_results, p95),
                  stop_delay(naive_results, p95), 10, "s");
    }
    return 0;
}
