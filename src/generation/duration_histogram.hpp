#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.hpp"

namespace cyclamen::generation {

/// Histogram of a duration that favours recent samples. Bucket limits grow by an eighth of an
/// octave; all counts are halved whenever they add up to `max_samples`, so that older samples lose
/// weight.
class duration_histogram {
  public:
    void add(core::duration sample);

    /// @param fraction fraction of the samples, between 0 and 1
    /// @return an upper bound of this fraction of the samples, at most an eighth of an octave above
    ///         the exact quantile; empty if there are no samples
    [[nodiscard]] std::optional<core::duration> quantile(double fraction) const;

  private:
    static constexpr int buckets_per_octave = 8;
    static constexpr std::size_t bucket_count = 256;
    /// Upper limit of the first bucket.
    static constexpr core::duration first_bucket_limit = std::chrono::microseconds{10};
    /// All counts are halved when their sum reaches this.
    static constexpr std::uint64_t max_samples = 4096;

    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint64_t total_ = 0;

    [[nodiscard]] static std::size_t bucket_of(core::duration sample);
    void halve();
};

} // namespace cyclamen::generation
