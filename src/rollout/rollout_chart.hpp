#pragma once

#include "chart/chart.hpp"

namespace cyclamen::rollout {

/// Events of the chart `rollout`, in the order of rollout_vocabulary().
enum class rollout_event : chart::symbol { reviewed, vetoed, watch_over };

/// Guards of the chart `rollout`.
enum class rollout_guard : chart::symbol { target_ready, moving, moved, overdue, drained };

/// Actions of the chart `rollout`.
enum class rollout_action : chart::symbol {
    order_loads,
    note_veto,
    note_late,
    note_done,
    note_taken_back,
};

/// Timeouts of the chart `rollout`.
enum class rollout_timeout : chart::symbol { watch_period };

/// @return the event, guard, action and timeout names of the chart `rollout` that the code
/// implements
[[nodiscard]] const chart::vocabulary& rollout_vocabulary();

} // namespace cyclamen::rollout
