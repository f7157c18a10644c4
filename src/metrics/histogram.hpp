#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "core/time.hpp"

namespace cyclamen::metrics {

/// One cumulative bucket of a histogram, as reported.
struct bucket {
    /// Upper bound. A sample below it is counted in this bucket and in all later ones.
    const core::duration bound;
    const std::uint64_t count_below;

    auto operator<=>(const bucket&) const = default;
};

/// Snapshot of a histogram.
struct histogram_summary {
    const std::uint64_t count;
    const core::duration sum;
    const core::duration max;
    /// Quantiles, estimated with the P-square algorithm; zero without samples.
    const core::duration median;
    const core::duration p95;
    const core::duration p99;
    const std::vector<bucket> buckets;

    auto operator<=>(const histogram_summary&) const = default;
};

/// Distribution of one kind of duration: Boost.Histogram keeps the buckets, Boost.Accumulators the
/// sum, maximum and quantiles. Not thread-safe: belongs to one task and is used on its thread only.
class histogram {
  public:
    histogram();

    /// @param sample duration, must not be negative
    void add(core::duration sample);

    [[nodiscard]] histogram_summary summary() const;

    /// Bound of the first bucket; each later bound is twice the one before.
    static constexpr core::duration min_bound = std::chrono::microseconds{250};
    static constexpr unsigned bucket_count = 18;

  private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                 boost::histogram::axis::null_type>;
    using bucket_counts =
        boost::histogram::histogram<std::tuple<axis>,
                                    boost::histogram::dense_storage<std::uint64_t>>;
    using quantile = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    using moments = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>;

    bucket_counts buckets_;
    moments moments_;
    std::array<quantile, 3> quantiles_;
};

} // namespace cyclamen::metrics
