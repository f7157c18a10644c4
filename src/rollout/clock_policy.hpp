#pragma once

#include "rollout/share_policy.hpp"

namespace cyclamen::rollout {

/// Limits of the clock policy.
struct clock_policy_settings {
    /// The share grows linearly during this time, up to the deadline minus the margin.
    core::duration ramp = std::chrono::minutes{30};
    /// Time kept free before the deadline.
    core::duration margin = std::chrono::minutes{1};
    /// Fraction of failed requests above which the version is taken back.
    double error_threshold = 0.05;
    /// Requests of the new version that are needed to compute that fraction.
    std::uint64_t min_requests = 20;

    auto operator<=>(const clock_policy_settings&) const = default;
};

/// Naive policy: the share follows the clock, and a fixed error threshold takes a version back.
/// Serves as the baseline of measurements.
class clock_policy final : public share_policy {
  public:
    explicit clock_policy(clock_policy_settings settings) : settings_{settings} {}

    [[nodiscard]] assessment assess(const rollout_view& view) const override;

  private:
    clock_policy_settings settings_;
};

} // namespace cyclamen::rollout
