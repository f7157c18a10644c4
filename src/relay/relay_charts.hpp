#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"

namespace cyclamen::relay {

/// The charts that relaying runs.
struct relay_charts {
    const std::shared_ptr<const chart::chart> request;
    const std::shared_ptr<const chart::chart> protection;
    const std::shared_ptr<const chart::chart> lifecycle;
    const std::shared_ptr<const chart::chart> target_health;

    bool operator==(const relay_charts&) const = default;

    /// @param files chart files
    /// @return the charts, or the first error of loading one
    [[nodiscard]] static absl::StatusOr<relay_charts> load(const chart::library& files);
};

} // namespace cyclamen::relay
