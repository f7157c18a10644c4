#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/time.hpp"
#include "soak/fault_plan.hpp"

namespace cyclamen::soak {

/// How a soak is set up.
struct soak_settings {
    const std::uint64_t seed;
    /// Path of the program that is soaked.
    const std::string program;
    /// Folder for settings and logs of the instances; it exists.
    const std::string folder;
    const core::duration length = std::chrono::seconds{20};
    const std::size_t instances = 3;
    const std::size_t engines = 6;
    const std::size_t services = 3;

    auto operator<=>(const soak_settings&) const = default;
};

/// What a soak has seen.
struct soak_result {
    const std::vector<planned_fault> faults;
    const std::size_t calls;
    /// Calls by their status, 0 for no answer.
    const std::map<int, std::size_t> statuses;
    const std::vector<std::string> violations;

    auto operator<=>(const soak_result&) const = default;
};

/// Runs instances as processes on loopback, with stand-ins behind proxies, harms all of them as the
/// seed decides, and checks what callers and runners see.
/// @return what was seen, or unavailable where the system can't be started
[[nodiscard]] absl::StatusOr<soak_result> run_soak(const soak_settings& settings);

} // namespace cyclamen::soak
