#include "call/call_chart.hpp"

namespace cyclamen::call {

const chart::vocabulary& call_vocabulary()
{
    static const chart::vocabulary words{
        {"begun", "claim_written", "claim_in_doubt", "claim_not_written", "row_found", "row_absent",
         "claim_overdue", "recheck_due", "watch_due", "proceed", "attempt_sent", "attempt_not_sent",
         "attempt_lost", "answer_received", "answer_overdue", "late_overdue", "caller_gone"},
        {"keyed", "may_have_run", "own_claim", "other_body", "row_answered", "row_released",
         "row_unknown", "has_target", "attempts_left", "may_repeat", "claim_may_be_lost"},
        {"write_claim", "read_claim", "release_claim", "offer", "cancel_attempt", "record_answer",
         "record_unknown", "deliver_answer", "answer_from_row", "say_unknown", "refuse_store",
         "refuse_no_target", "refuse_other_body"},
        {"claim_limit", "recheck_period", "watch_period", "answer_limit", "late_limit"}};
    return words;
}

} // namespace cyclamen::call
