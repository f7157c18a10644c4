#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::limits {

/// Open and waiting requests of one account for one service at one instance.
struct account_demand {
    const core::service_name service;
    const core::account_name account;
    const std::uint32_t requests;

    auto operator<=>(const account_demand&) const = default;
};

/// Total demand of one instance, as it reports it to its peers.
struct demand_report {
    const core::instance_name instance;
    const std::vector<account_demand> demand;

    auto operator<=>(const demand_report&) const = default;
};

/// Receives updates about the other instances and the service capacities, and provides the demand
/// of this instance. Called on the decision task.
class fleet_observer {
  public:
    virtual ~fleet_observer() = default;

    /// @param serving number of serving instances including this one, 0 if unknown
    virtual void on_serving_instances(std::uint32_t serving) = 0;

    /// A peer reported its demand; this replaces its previous report.
    virtual void on_peer_demand(const demand_report& report, core::instant now) = 0;

    /// @param service the service
    /// @param requests how many requests all its targets together serve at full speed
    virtual void on_capacity(const core::service_name& service, double requests) = 0;

    /// @return the demand of this instance, to be reported to peers
    [[nodiscard]] virtual std::vector<account_demand> demand() const = 0;
};

} // namespace cyclamen::limits
