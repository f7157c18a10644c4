#pragma once

#include "soak/fault_plan.hpp"
#include "soak/fault_proxy.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"

/// @file
/// What the kinds of faults mean to proxies and stand-ins.

namespace cyclamen::soak {

/// @param kind a fault of a connection
[[nodiscard]] proxy_mode proxy_mode_for(fault_kind kind);

/// @param kind a fault of a runner
[[nodiscard]] standin::runner_fault runner_fault_for(fault_kind kind);

/// @param kind a fault of the store
[[nodiscard]] standin::row_store_fault store_fault_for(fault_kind kind);

} // namespace cyclamen::soak
