#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "core/time.hpp"
#include "limits/urgency.hpp"

namespace cyclamen::limits {

/// Place of a request in a waiting_line.
struct waiting_place {
    const urgency_rank urgency;
    /// When it has to start to meet its goal.
    const core::instant latest_start;
    const std::uint64_t number;

    auto operator<=>(const waiting_place&) const = default;
};

/// Requests of one service that wait for room at engines, the most urgent first and then the one
/// that has to start first. Only the first one asks engines: if many did, each would see the same
/// room in their reports. Bounded; a more urgent request takes the place of the last one.
class waiting_line {
  public:
    /// @param max_size maximum number of requests, at least 1
    explicit waiting_line(std::size_t max_size) : max_size_{max_size} {}

    /// Adds a request, or keeps it if it waits already.
    /// @return false if it comes after a full line
    [[nodiscard]] bool add(const waiting_place& place);
    void remove(std::uint64_t number);

    /// @return the place of a request, null if it doesn't wait
    [[nodiscard]] const waiting_place* find(std::uint64_t number) const;

    /// @return true if no other request comes before it; requests too late to start don't count
    [[nodiscard]] bool is_first(const waiting_place& place, core::instant now) const;

  private:
    const std::size_t max_size_;
    std::set<waiting_place> order_;
    std::map<std::uint64_t, std::set<waiting_place>::const_iterator> places_;
};

} // namespace cyclamen::limits
