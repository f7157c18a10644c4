#pragma once

#include <string>
#include <vector>

#include "soak/call_record.hpp"
#include "standin/runner_task.hpp"

namespace cyclamen::soak {

/// Interval in which a fault disturbed the system, so that time limits don't apply.
struct disturbance {
    const core::instant from;
    const core::instant to;

    auto operator<=>(const disturbance&) const = default;
};

/// Interval in which a runner was paused: it hears of the end of a request only afterwards.
struct runner_pause {
    const std::string runner;
    const core::instant from;
    const core::instant to;

    auto operator<=>(const runner_pause&) const = default;
};

/// Limits of the guarantees that are checked.
struct guarantee_settings {
    /// Number of events in a complete stream.
    const std::uint64_t stream_events = 60;
    /// Time after a runner is listed as draining in which it may still receive requests.
    const core::duration drain_limit = std::chrono::seconds{2};
    /// Time after a caller abandons a request in which the request may continue to run.
    const core::duration cancel_limit = std::chrono::milliseconds{500};
    /// Maximum number of runs of a request that may be repeated.
    const std::uint64_t max_runs = 5;
    /// Crashes of runners by one deadly trait, and time from the last of them, after which requests
    /// with it may crash only as many more.
    const std::size_t deadly_crashes = 5;
    const core::duration quarantine_time = std::chrono::seconds{3};
    const std::size_t late_deadly_crashes = 3;
    /// Time after the last of `deadly_crashes` from which on no sound request may be refused
    /// because of them.
    const core::duration confusion_time = std::chrono::seconds{6};
    /// Time for which a request may run at two runners at once.
    const core::duration second_run_limit = std::chrono::milliseconds{400};
    /// Time that the end of a connection takes to reach a runner through its proxy.
    const core::duration close_time = std::chrono::milliseconds{150};
    /// Whether each stream that has begun must end whole.
    const bool completes_streams = false;
    /// Time after a disturbance in which time limits don't apply.
    const core::duration settle_time = std::chrono::seconds{3};

    auto operator<=>(const guarantee_settings&) const = default;
};

/// Records of callers and runners, and the disturbances.
struct observations {
    const std::vector<call_record> calls;
    const std::vector<standin::runner_report> reports;
    const std::vector<disturbance> disturbances;
    const std::vector<runner_pause> pauses = {};

    auto operator<=>(const observations&) const = default;
};

/// Checks the guarantees against the records of a soak test.
/// @return one line for each violation
[[nodiscard]] std::vector<std::string> find_violations(const observations& observed,
                                                       const guarantee_settings& guarantees);

} // namespace cyclamen::soak
