#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cyclamen::core {

/// Position in the history of a store that numbers its transactions. The numbers are an order only
/// within one era: a store that was restored from a copy starts a new era and assigns numbers
/// again. Positions are ordered by era first, so that everything that is read after a restore is
/// newer than what was read before.
class store_version {
  public:
    /// The position before the first transaction: nothing has been read.
    constexpr store_version() = default;

    /// @param era era of the store
    /// @param number number of the transaction
    constexpr store_version(std::uint64_t era, std::uint64_t number) : era_{era}, number_{number} {}

    [[nodiscard]] constexpr std::uint64_t era() const { return era_; }
    [[nodiscard]] constexpr std::uint64_t number() const { return number_; }

    auto operator<=>(const store_version&) const = default;

  private:
    std::uint64_t era_ = 0;
    std::uint64_t number_ = 0;
};

/// @return ERA.NUMBER, for the log
[[nodiscard]] std::string to_string(const store_version& version);

} // namespace cyclamen::core
