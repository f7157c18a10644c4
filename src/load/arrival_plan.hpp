#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "load/load_settings.hpp"

namespace cyclamen::load {

/// A request of a load and its send time.
struct planned_request {
    /// Send time, from the start of the load.
    const core::duration at;
    /// Index into load_settings::accounts.
    const std::size_t account;
    /// Request key (idempotency key), empty for none.
    const std::string key;
    const std::string prompt;
    const std::uint64_t max_tokens;
    const bool streaming;

    auto operator<=>(const planned_request&) const = default;
};

/// Generates the requests of a load: open-loop arrivals with exponential interarrival times (a
/// Poisson process). Deterministic: equal settings give equal plans.
/// @param settings rate, length, seed and mix of the requests
/// @return the requests, ascending by send time
[[nodiscard]] std::vector<planned_request> plan_arrivals(const load_settings& settings);

} // namespace cyclamen::load
