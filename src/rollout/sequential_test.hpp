#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamen::rollout {

/// Number of events and of observations of both versions in one window.
struct comparison {
    const std::uint64_t new_events;
    const std::uint64_t new_total;
    const std::uint64_t old_events;
    const std::uint64_t old_total;

    auto operator<=>(const comparison&) const = default;
};

/// Mixture sequential probability ratio test of "the new version has events more often than the old
/// one". Its value is an e-value: if the new version is no worse, the probability that it ever
/// reaches 1/a is at most a, however often the test is evaluated.
class sequential_test {
  public:
    /// @param tolerance odds ratio up to which the versions count as equal, at least 1
    explicit sequential_test(double tolerance);

    /// Begins a window, with which a fault may start. Otherwise the good observations before a late
    /// fault would mask it. The probabilities of all starting points add up to 1, so the bound on
    /// false alarms holds.
    void open_window();

    /// Adds the comparison of one window. The test is conditional on the total events of both
    /// versions, so a problem that affects both alike, such as a store outage, doesn't change it.
    void add(const comparison& window);

    /// Adds observations of the new version for a window in which the old one has none.
    /// @param events events among the observations
    /// @param total number of observations
    /// @param rate highest event rate of a good version, between 0 and 1
    void add_against_rate(std::uint64_t events, std::uint64_t total, double rate);

    /// @return the e-value, 1 without observations; bounded, so that sums stay finite
    [[nodiscard]] double e_value() const;

  private:
    /// Odds ratios of the alternative hypotheses, all with the same weight.
    static constexpr std::array<double, 4> alternatives{3, 8, 25, 100};

    double tolerance_;
    /// Prior probability that the fault has not started yet.
    double not_started_;
    std::array<double, alternatives.size()> log_ratios_{};
};

} // namespace cyclamen::rollout
