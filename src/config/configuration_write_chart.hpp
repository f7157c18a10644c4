#pragma once

#include "chart/vocabulary.hpp"

namespace cyclamen::config {

/// Events of the chart `configuration_write`, in the order of its vocabulary.
enum class write_event : chart::symbol {
    rows_read,
    committed,
    condition_failed,
    outcome_unknown,
    table_unavailable,
    limit_passed,
    retry_due,
};

/// Guards of the chart `configuration_write`.
enum class write_guard : chart::symbol {
    head_went_back,
    expectation_met,
    own_write_found,
    table_restored,
    head_unchanged,
    write_ruled_out,
};

/// Actions of the chart `configuration_write`.
enum class write_action : chart::symbol {
    read_head,
    commit,
    read_back,
    fence,
    take_over,
    answer_accepted,
    answer_conflict,
    answer_unavailable,
    answer_undetermined,
};

/// Timeouts of the chart `configuration_write`.
enum class write_timeout : chart::symbol { write_limit, doubt_limit, retry_pause };

/// @return the event, guard, action and timeout names of the chart `configuration_write` that the
/// code implements
[[nodiscard]] const chart::vocabulary& configuration_write_vocabulary();

} // namespace cyclamen::config
