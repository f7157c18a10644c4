#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "lease/lease.hpp"

namespace cyclamen::lease {

/// Order to an engine to serve a version. It states the desired state, which makes it idempotent.
struct engine_order {
    const core::target_name target;
    const core::version_name version;
    const fencing_number fence;
    /// The task that owns the connection drops the order once its clock has reached this instant.
    const core::instant send_before;

    auto operator<=>(const engine_order&) const = default;
};

/// Version that a target should serve.
struct desired_version {
    const core::target_name target;
    const core::version_name version;
    /// True if the target rejects orders with outdated fencing numbers.
    const bool checks_fencing;

    auto operator<=>(const desired_version&) const = default;
};

/// Compares the versions that targets serve with the desired ones, and creates orders for targets
/// that differ while this instance holds the lease. Opens no socket and reads no clock.
class reconciler {
  public:
    /// @param retry_interval minimum time between two orders of the same version to a target
    explicit reconciler(core::duration retry_interval) : retry_interval_{retry_interval} {}

    /// Replaces the desired versions of all targets.
    void set_desired(const std::vector<desired_version>& desired);

    /// Records the version that a target reports to be serving or loading.
    void observe(const core::target_name& target, const core::version_name& version);

    /// Creates the orders that are to be sent now, and records them as sent.
    /// @param held the lease of this instance
    /// @return orders to targets that differ and have no recent order
    [[nodiscard]] std::vector<engine_order> take_orders(const lease& held, core::instant now);

    /// @return targets that are not known to serve their desired version
    [[nodiscard]] std::set<core::target_name> differing_targets() const;

  private:
    core::duration retry_interval_;
    std::map<core::target_name, desired_version> desired_;
    std::map<core::target_name, core::version_name> observed_;
    std::map<core::target_name, core::instant> ordered_at_;

    [[nodiscard]] bool differs(const desired_version& desired) const;
};

} // namespace cyclamen::lease
