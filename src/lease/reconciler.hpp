#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "lease/lease.hpp"

namespace cyclamen::lease {

/// Tells an engine which version it is to serve. It states the wanted end, so that carrying it out
/// twice does no more than once.
struct engine_order {
    const core::target_name target;
    const core::version_name version;
    const fencing_number fence;
    /// The task that owns the connection drops the order when its clock has reached this instant.
    const core::instant send_before;

    auto operator<=>(const engine_order&) const = default;
};

/// What a target is to serve.
struct desired_version {
    const core::target_name target;
    const core::version_name version;
    const bool checks_fencing;

    auto operator<=>(const desired_version&) const = default;
};

/// Repairs the difference between what targets serve and what they are to serve, while this
/// instance holds the lease. Opens no socket and reads no clock.
class reconciler {
  public:
    explicit reconciler(core::duration retry_interval) : retry_interval_{retry_interval} {}

    /// Replaces what targets are to serve.
    void set_desired(const std::vector<desired_version>& desired);

    /// Notes what a target says that it serves or loads.
    void observe(const core::target_name& target, const core::version_name& version);

    /// @param held the lease of this instance
    /// @return orders to send now: to targets that differ and have no recent order
    [[nodiscard]] std::vector<engine_order> take_orders(const lease& held, core::instant now);

    /// @return targets that are not known to serve what they are to serve
    [[nodiscard]] std::set<core::target_name> differing_targets() const;

  private:
    core::duration retry_interval_;
    std::map<core::target_name, desired_version> desired_;
    std::map<core::target_name, core::version_name> observed_;
    std::map<core::target_name, core::instant> ordered_at_;

    [[nodiscard]] bool differs(const desired_version& desired) const;
};

} // namespace cyclamen::lease
