#include "generation/duration_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamen::generation {

void duration_histogram::add(core::duration sample)
{
    ++counts_[bucket_of(sample)];
    ++total_;
    if (total_ >= max_samples) {
        halve();
    }
}

std::optional<core::duration> duration_histogram::quantile(double fraction) const
{
    if (total_ == 0) {
        return std::nullopt;
    }
    const double target_count = fraction * static_cast<double>(total_);
    double cumulative_count = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count) {
        cumulative_count += counts_[bucket];
        if (cumulative_count >= target_count && cumulative_count > 0) {
            break;
        }
        ++bucket;
    }
    const double octaves = static_cast<double>(bucket) / buckets_per_octave;
    return core::from_seconds(core::to_seconds(first_bucket_limit) * std::exp2(octaves));
}

std::size_t duration_histogram::bucket_of(core::duration sample)
{
    if (sample <= first_bucket_limit) {
        return 0;
    }
    const double octaves =
        std::log2(core::to_seconds(sample) / core::to_seconds(first_bucket_limit));
    const auto bucket = static_cast<std::size_t>(std::ceil(octaves * buckets_per_octave));
    return std::min(bucket, bucket_count - 1);
}

void duration_histogram::halve()
{
    total_ = 0;
    for (std::uint32_t& count : counts_) {
        count /= 2;
        total_ += count;
    }
}

} // namespace cyclamen::generation
