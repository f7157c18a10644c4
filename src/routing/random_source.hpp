#pragma once

#include <cstdint>
#include <random>

namespace cyclamen::routing {

/// Source of random numbers for routing decisions. Called on the decision task.
class random_source {
  public:
    virtual ~random_source() = default;

    /// @param bound above 0
    /// @return a uniformly distributed number in [0, bound)
    [[nodiscard]] virtual std::uint64_t below(std::uint64_t bound) = 0;

    /// @return a uniformly distributed number in [0, 1)
    [[nodiscard]] virtual double fraction() = 0;
};

/// Deterministic random source: the same seed yields the same sequence.
class seeded_random final : public random_source {
  public:
    explicit seeded_random(std::uint64_t seed) : engine_{seed} {}

    [[nodiscard]] std::uint64_t below(std::uint64_t bound) override
    {
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(engine_);
    }

    [[nodiscard]] double fraction() override
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(engine_);
    }

  private:
    std::mt19937_64 engine_;
};

} // namespace cyclamen::routing
