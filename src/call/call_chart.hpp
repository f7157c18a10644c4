#pragma once

#include "chart/vocabulary.hpp"

namespace cyclamen::call {

/// Events of the chart `call`, in the order of call_vocabulary().
enum class call_event : chart::symbol {
    begun,
    claim_written,
    claim_in_doubt,
    claim_not_written,
    row_found,
    row_absent,
    claim_overdue,
    recheck_due,
    watch_due,
    proceed,
    attempt_sent,
    attempt_not_sent,
    attempt_lost,
    answer_received,
    answer_overdue,
    late_overdue,
    caller_gone,
};

/// Guards of the chart `call`.
enum class call_guard : chart::symbol {
    keyed,
    may_have_run,
    own_claim,
    other_body,
    row_answered,
    row_released,
    row_unknown,
    has_target,
    attempts_left,
    may_repeat,
    claim_may_be_lost,
};

/// Actions of the chart `call`.
enum class call_action : chart::symbol {
    write_claim,
    read_claim,
    release_claim,
    offer,
    cancel_attempt,
    record_answer,
    record_unknown,
    deliver_answer,
    answer_from_row,
    say_unknown,
    refuse_store,
    refuse_no_target,
    refuse_other_body,
};

/// Timeouts of the chart `call`.
enum class call_timeout : chart::symbol {
    claim_limit,
    recheck_period,
    watch_period,
    answer_limit,
    late_limit,
};

/// @return the names that the code binds to the chart `call`, in enumerator order
[[nodiscard]] const chart::vocabulary& call_vocabulary();

} // namespace cyclamen::call
