#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.hpp"

namespace cyclamen::generation {

/// The recent distribution of a duration: buckets that grow by an eighth of an octave, whose counts
/// are halved now and then, so that older samples count less.
class duration_histogram {
  public:
    /// Adds a sample.
    void add(core::duration sample);

    /// @param share part of the samples, between 0 and 1
    /// @return a duration that at least this part of the samples stays below, at most an eighth of
    ///         an octave above the least one; empty where nothing was added
    [[nodiscard]] std::optional<core::duration> quantile(double fraction) const;

  private:
    static constexpr int buckets_per_octave = 8;
    static constexpr std::size_t bucket_count = 256;
    /// Upper end of the first bucket.
    static constexpr core::duration first_bucket_limit = std::chrono::microseconds{10};
    /// Counts are halved when they add up to this.
    static constexpr std::uint64_t max_samples = 4096;

    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint64_t total_ = 0;

    [[nodiscard]] static std::size_t bucket_of(core::duration sample);
    void halve();
};

} // namespace cyclamen::generation
