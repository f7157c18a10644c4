#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/time.hpp"
#include "soak/fault_plan.hpp"

namespace cyclamen::soak {

/// Settings of a soak test.
struct soak_settings {
    const std::uint64_t seed;
    /// Path of the program under test.
    const std::string program;
    /// Existing folder for the settings and logs of the instances.
    const std::string folder;
    /// Duration of the traffic.
    const core::duration length = std::chrono::seconds{20};
    const std::size_t instances = 3;
    const std::size_t engines = 6;
    const std::size_t services = 3;
    /// Some requests crash the runners that run them. Runners then have no proxies in front, which
    /// would accept connections for a runner that has ended.
    const bool crashes = false;
    /// Runners and their connections fall silent, and there are no other faults.
    const bool silences = false;

    auto operator<=>(const soak_settings&) const = default;
};

/// Result of a soak test.
struct soak_result {
    const std::vector<planned_fault> faults;
    const std::size_t calls;
    /// Number of calls by status; 0 stands for no answer.
    const std::map<int, std::size_t> statuses;
    const std::vector<std::string> violations;

    auto operator<=>(const soak_result&) const = default;
};

/// Runs a soak test: starts instances as processes on loopback, with stand-ins behind proxies,
/// injects faults into all of them as the seed determines, and checks the guarantees against the
/// records of callers and runners.
/// @return the result, or unavailable if the system can't be started
[[nodiscard]] absl::StatusOr<soak_result> run_soak(const soak_settings& settings);

} // namespace cyclamen::soak
