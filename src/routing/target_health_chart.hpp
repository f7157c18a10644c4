#pragma once

#include "chart/vocabulary.hpp"

namespace cyclamen::routing {

/// Events of the chart `target_health`, in the order of target_health_vocabulary().
enum class target_health_event : chart::symbol {
    loss_seen,
    success_seen,
    time_passed,
    leave_heard,
    return_heard,
};

/// Guards of the chart `target_health`.
enum class target_health_guard : chart::symbol { ejection_due, ejection_allowed, ramp_complete };

/// Actions of the chart `target_health`.
enum class target_health_action : chart::symbol {
    count_loss,
    count_success,
    forget_losses,
    note_ejection,
    start_ramp,
};

/// Timeouts of the chart `target_health`.
enum class target_health_timeout : chart::symbol { suspicion, ejection };

/// @return the names that the code binds to the chart `target_health`, in enumerator order
[[nodiscard]] const chart::vocabulary& target_health_vocabulary();

} // namespace cyclamen::routing
