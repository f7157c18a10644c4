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

/// One bucket of a histogram, as it is reported.
struct bucket {
    /// Samples below this bound are counted here and in all later buckets.
    const core::duration bound;
    const std::uint64_t count_below;

    auto operator<=>(const bucket&) const = default;
};

/// What a histogram holds at one moment.
struct histogram_summary {
    const std::uint64_t count;
    const core::duration sum;
    const core::duration max;
    /// Estimates by the P-square method; zero without samples.
    const core::duration median;
    const core::duration p95;
    const core::duration p99;
    const std::vector<bucket> buckets;

    auto operator<=>(const histogram_summary&) const = default;
};

/// The distribution of one duration: Boost.Histogram for the buckets, Boost.Accumulators for sum,
/// maximum and quantiles. Used by one task, on its thread.
class histogram {
  public:
    histogram();

    /// @param sample a duration, not negative
    void add(core::duration sample);

    [[nodiscard]] histogram_summary summary() const;

    /// Bucket bounds double from the least bound to the greatest.
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
