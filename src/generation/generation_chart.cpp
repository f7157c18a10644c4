#include "generation/generation_chart.hpp"

namespace cyclamen::generation {

const chart::vocabulary& generation_vocabulary()
{
    static const chart::vocabulary words{
        {"target_chosen", "answer_restored", "placement_overdue", "tokens_received",
         "attempt_finished", "attempt_lost", "attempt_alive", "token_overdue", "callers_gone",
         "deadline_passed", "quarantined", "superseded", "tokens_released", "commit_overdue"},
        {"complete", "attempts_left", "may_probe", "all_released"},
        {"seek_target", "open_attempt", "cancel_attempt", "probe_attempt", "append_tokens",
         "deliver_tokens", "release_all", "finish_callers", "fail_attempts_spent", "fail_deadline",
         "fail_no_target", "fail_quarantined", "hand_over_callers", "note_loss", "note_finish",
         "note_cancel"},
        {"request_deadline", "placement_limit", "first_token_limit", "token_gap_limit",
         "probe_limit", "stall_limit", "commit_limit"}};
    return words;
}

} // namespace cyclamen::generation
