#pragma once

#include <compare>
#include <cstdint>

namespace cyclamen::relay {

/// Whether a target's load report lists a run.
enum class run_listing {
    /// The report doesn't say which runs the target has.
    unknown,
    absent,
    present,
};

/// What a target's load report says of one run. It is a few hundred milliseconds old on arrival.
struct run_progress {
    const run_listing listing = run_listing::unknown;
    /// Events of the run so far, 0 unless it is present.
    const std::uint64_t events_made = 0;

    auto operator<=>(const run_progress&) const = default;
};

} // namespace cyclamen::relay
