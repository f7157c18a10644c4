#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"

namespace cyclamen::relay {

/// The state charts used by the relay.
struct relay_charts {
    const std::shared_ptr<const chart::chart> request;
    const std::shared_ptr<const chart::chart> protection;
    const std::shared_ptr<const chart::chart> lifecycle;
    const std::shared_ptr<const chart::chart> target_health;
    const std::shared_ptr<const chart::chart> rollout;

    bool operator==(const relay_charts&) const = default;

    /// @param files library of chart files
    /// @return the charts, or the error of the first that failed to load
    [[nodiscard]] static absl::StatusOr<relay_charts> load(const chart::library& files);
};

} // namespace cyclamen::relay
