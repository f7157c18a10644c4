#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"

namespace cyclamen::instance {

/// The validated charts that an instance runs.
struct instance_charts {
    const std::shared_ptr<const chart::chart> generation;
    const std::shared_ptr<const chart::chart> checkpoint;
    const std::shared_ptr<const chart::chart> takeover;
    const std::shared_ptr<const chart::chart> call;
    /// The chart `instance`.
    const std::shared_ptr<const chart::chart> lifecycle;
    const std::shared_ptr<const chart::chart> configuration_write;
    const std::shared_ptr<const chart::chart> target_health;
    const std::shared_ptr<const chart::chart> rollout;

    bool operator==(const instance_charts&) const = default;
};

/// Loads and validates the charts of an instance.
/// @param files the chart files
/// @return the charts, or the first error found
[[nodiscard]] absl::StatusOr<instance_charts> load_charts(const chart::library& files);

} // namespace cyclamen::instance
