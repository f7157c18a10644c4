#include "rollout/sequential_test.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cyclamen::rollout {

namespace {

constexpr double max_log_ratio = 200;
/// Prior probability that a fault is present from the start.
constexpr double initial_fault_probability = 0.5;
/// Prior probability that it starts with a given window.
constexpr double fault_probability_per_window = 0.01;

double probability_of_odds(double odds)
{
    return odds / (1 + odds);
}

/// @return log of the likelihood ratio of the alternative to the null probability
double log_ratio(double events, double others, double alternative, double null)
{
    return events * std::log(alternative / null) +
           others * std::log((1 - alternative) / (1 - null));
}

} // namespace

sequential_test::sequential_test(double tolerance)
    : tolerance_{tolerance}, not_started_{1 - initial_fault_probability}
{
    log_ratios_.fill(std::log(initial_fault_probability));
}

void sequential_test::open_window()
{
    const double started_now = std::min(not_started_, fault_probability_per_window);
    not_started_ -= started_now;
    for (double& log_value : log_ratios_) {
        log_value = std::log(std::exp(std::min(log_value, max_log_ratio)) + started_now);
    }
}

void sequential_test::add(const comparison& window)
{
    assert(window.new_events <= window.new_total && window.old_events <= window.old_total);
    if (window.new_total == 0 || window.old_total == 0 ||
        window.new_events + window.old_events == 0) {
        return;
    }
    const double odds =
        tolerance_ * static_cast<double>(window.new_total) / static_cast<double>(window.old_total);
    const double null = probability_of_odds(odds);
    for (std::size_t i = 0; i < alternatives.size(); ++i) {
        log_ratios_.at(i) += log_ratio(static_cast<double>(window.new_events),
                                       static_cast<double>(window.old_events),
                                       probability_of_odds(odds * alternatives.at(i)), null);
    }
}

void sequential_test::add_against_rate(std::uint64_t events, std::uint64_t total, double rate)
{
    assert(events <= total && rate > 0 && rate < 1);
    const double odds = rate / (1 - rate);
    for (std::size_t i = 0; i < alternatives.size(); ++i) {
        log_ratios_.at(i) +=
            log_ratio(static_cast<double>(events), static_cast<double>(total - events),
                      probability_of_odds(odds * alternatives.at(i)), rate);
    }
}

double sequential_test::e_value() const
{
    double sum = 0;
    for (const double log_value : log_ratios_) {
        sum += std::exp(std::min(log_value, max_log_ratio));
    }
    return not_started_ + sum / alternatives.size();
}

} // namespace cyclamen::rollout
