#pragma once

#include <string>
#include <vector>

#include "soak/call_record.hpp"
#include "standin/runner_task.hpp"

namespace cyclamen::soak {

/// Time in which something was being done to the system, so that bounds in time don't hold.
struct disturbance {
    const core::instant from;
    const core::instant to;

    auto operator<=>(const disturbance&) const = default;
};

/// Bounds of the promises.
struct guarantee_settings {
    const std::uint64_t stream_events = 60;
    /// How long after a runner's leaving was listed it may still get requests.
    const core::duration drain_limit = std::chrono::seconds{2};
    /// How long after a caller has left its run may go on.
    const core::duration cancel_limit = std::chrono::milliseconds{500};
    /// Runs of a request that may be repeated.
    const std::uint64_t max_runs = 5;
    /// Time after a disturbance in which bounds in time don't hold.
    const core::duration settle_time = std::chrono::seconds{3};

    auto operator<=>(const guarantee_settings&) const = default;
};

/// Everything that callers and runners have seen.
struct observations {
    const std::vector<call_record> calls;
    const std::vector<standin::runner_report> reports;
    const std::vector<disturbance> disturbances;

    auto operator<=>(const observations&) const = default;
};

/// @return one line for each promise that was broken
[[nodiscard]] std::vector<std::string> find_violations(const observations& observed,
                                                       const guarantee_settings& guarantees);

} // namespace cyclamen::soak
