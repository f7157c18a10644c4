#pragma once

#include <cstdint>

namespace cyclamen::metrics {

/// Monotonic event counter. Not thread-safe: belongs to one task and is used on its thread only.
class counter {
  public:
    /// @param events number of events to add
    void add(std::uint64_t events = 1) { value_ += events; }

    [[nodiscard]] std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 0;
};

} // namespace cyclamen::metrics
