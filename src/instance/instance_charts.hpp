#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"

namespace cyclamen::instance {

/// The checked charts that one instance runs.
struct instance_charts {
    const std::shared_ptr<const chart::chart> generation;
    const std::shared_ptr<const chart::chart> checkpoint;
    const std::shared_ptr<const chart::chart> takeover;
    const std::shared_ptr<const chart::chart> call;
    const std::shared_ptr<const chart::chart> lifecycle;
    const std::shared_ptr<const chart::chart> configuration_write;
    const std::shared_ptr<const chart::chart> target_health;
    const std::shared_ptr<const chart::chart> rollout;

    bool operator==(const instance_charts&) const = default;
};

/// Loads the charts of an instance.
/// @param files chart files
/// @return the charts, or the first error of a file
[[nodiscard]] absl::StatusOr<instance_charts> load_charts(const chart::library& files);

} // namespace cyclamen::instance
