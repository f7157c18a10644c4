#pragma once

#include "chart/chart.hpp"

namespace cyclamen::lease {

/// Events of the chart `lease`, in the order of lease_vocabulary().
enum class lease_event : chart::symbol {
    stopped,
    poll_due,
    row_seen,
    written,
    conflicted,
    write_in_doubt,
    answer_overdue,
    renew_due,
    lapsed,
};

/// Guards of the chart `lease`.
enum class lease_guard : chart::symbol { row_lapsed, row_is_mine, in_time };

/// Actions of the chart `lease`.
enum class lease_action : chart::symbol {
    read_row,
    note_row,
    write_claim,
    write_renewal,
    extend,
    start_orders,
    stop_orders,
};

/// Timeouts of the chart `lease`.
enum class lease_timeout : chart::symbol {
    poll_interval,
    answer_limit,
    renew_interval,
    lease_left
};

/// @return the names that the code binds to the chart `lease`
[[nodiscard]] const chart::vocabulary& lease_vocabulary();

} // namespace cyclamen::lease
