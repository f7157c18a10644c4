#include "metrics/histogram.hpp"

#include <cassert>

namespace cyclamen::metrics {

namespace {

namespace accumulators = boost::accumulators;

constexpr double median_probability = 0.5;
constexpr double p95_probability = 0.95;
constexpr double p99_probability = 0.99;

} // namespace

histogram::histogram()
    : buckets_{boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<std::uint64_t>{},
          axis{bucket_count, core::to_seconds(min_bound),
               core::to_seconds(min_bound * (std::int64_t{1} << bucket_count))})},
      quantiles_{quantile{accumulators::quantile_probability = median_probability},
                 quantile{accumulators::quantile_probability = p95_probability},
                 quantile{accumulators::quantile_probability = p99_probability}}
{
}

void histogram::add(core::duration sample)
{
    assert(sample >= core::duration::zero());
    const double seconds = core::to_seconds(sample);
    buckets_(seconds);
    moments_(seconds);
    for (quantile& each : quantiles_) {
        each(seconds);
    }
}

histogram_summary histogram::summary() const
{
    const std::uint64_t count = accumulators::count(moments_);
    const auto estimate = [&](const quantile& each) {
        return count == 0 ? core::duration::zero()
                          : core::from_seconds(accumulators::p_square_quantile(each));
    };
    std::vector<bucket> buckets;
    // Index -1 is the underflow bin: samples below the lowest bound.
    std::uint64_t below = 0;
    for (int index = -1; index < static_cast<int>(bucket_count); ++index) {
        below += buckets_.at(index);
        buckets.push_back(bucket{min_bound * (std::int64_t{1} << (index + 1)), below});
    }
    return histogram_summary{count,
                             core::from_seconds(accumulators::sum(moments_)),
                             count == 0 ? core::duration::zero()
                                        : core::from_seconds(accumulators::max(moments_)),
                             estimate(quantiles_[0]),
                             estimate(quantiles_[1]),
                             estimate(quantiles_[2]),
                             std::move(buckets)};
}

} // namespace cyclamen::metrics
