#pragma once

#include "core/time.hpp"

namespace cyclamen::core {

/// Source of time. Tasks read it and pass instants to decision code, which never reads a clock
/// itself. Called on the thread of the owning task.
class clock {
  public:
    virtual ~clock() = default;

    /// @return the current instant of the monotonic clock
    [[nodiscard]] virtual instant now() const = 0;

    /// @return the current wall-clock time
    [[nodiscard]] virtual wall_time wall() const = 0;
};

/// The operating system's clocks.
class system_clock final : public clock {
  public:
    [[nodiscard]] instant now() const override
    {
        return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    }

    [[nodiscard]] wall_time wall() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

/// A clock that changes only through advance(), for tests and simulations in virtual time.
class manual_clock final : public clock {
  public:
    [[nodiscard]] instant now() const override { return now_; }
    [[nodiscard]] wall_time wall() const override
    {
        return wall_time{
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch())};
    }

    /// Moves the clock forward.
    /// @param step time to add; must not be negative
    void advance(duration step) { now_ += step; }

  private:
    instant now_{};
};

} // namespace cyclamen::core
