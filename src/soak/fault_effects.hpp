#pragma once

#include "soak/fault_plan.hpp"
#include "soak/fault_proxy.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"

/// @file
/// Maps planned faults to modes of proxies and faults of stand-ins.

namespace cyclamen::soak {

/// @param kind a fault of a connection
/// @return the mode of the proxy on this connection
[[nodiscard]] proxy_mode proxy_mode_for(fault_kind kind);

/// @param kind a fault of a runner
/// @return the fault of the stand-in runner
[[nodiscard]] standin::runner_fault runner_fault_for(fault_kind kind);

/// @param kind a fault of the store
/// @return the fault of the stand-in store
[[nodiscard]] standin::row_store_fault store_fault_for(fault_kind kind);

/// @param fault a restore of the store
/// @return the copy from which the stand-in store comes back, and how long it is away
[[nodiscard]] standin::restore_copy copy_for(const planned_fault& fault);

} // namespace cyclamen::soak
