#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::limits {

/// What one instance has of one account for one service: open and waiting work.
struct account_demand {
    const core::service_name service;
    const core::account_name account;
    const std::uint32_t requests;

    auto operator<=>(const account_demand&) const = default;
};

/// All demand of one instance, as it tells its peers.
struct demand_report {
    const core::instance_name instance;
    const std::vector<account_demand> demand;

    auto operator<=>(const demand_report&) const = default;
};

/// Takes what is heard about the fleet. Called on the decision task.
class fleet_observer {
  public:
    virtual ~fleet_observer() = default;

    /// @param serving how many instances serve, with this one; 0 where it is not known
    virtual void on_serving_instances(std::uint32_t serving) = 0;

    /// A peer told its demand; it replaces what that peer told before.
    virtual void on_peer_demand(const demand_report& report, core::instant now) = 0;

    /// @param service the service
    /// @param requests how many requests all its targets together carry well
    virtual void on_capacity(const core::service_name& service, double requests) = 0;

    /// @return what peers should be told now
    [[nodiscard]] virtual std::vector<account_demand> demand() const = 0;
};

} // namespace cyclamen::limits
