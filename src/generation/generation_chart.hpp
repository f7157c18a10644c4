#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"

namespace cyclamen::generation {

/// Events of the chart `generation`, in the order of generation_vocabulary().
enum class generation_event : chart::symbol {
    target_chosen,
    answer_restored,
    placement_overdue,
    tokens_received,
    attempt_finished,
    attempt_lost,
    attempt_alive,
    token_overdue,
    callers_gone,
    deadline_passed,
    quarantined,
    superseded,
    tokens_released,
    commit_overdue,
};

/// Guards of the chart `generation`.
enum class generation_guard : chart::symbol { complete, attempts_left, may_probe, all_released };

/// Actions of the chart `generation`.
enum class generation_action : chart::symbol {
    seek_target,
    open_attempt,
    cancel_attempt,
    probe_attempt,
    append_tokens,
    deliver_tokens,
    release_all,
    finish_callers,
    fail_attempts_spent,
    fail_deadline,
    fail_no_target,
    fail_quarantined,
    hand_over_callers,
    note_loss,
    note_finish,
    note_cancel,
};

/// Timeouts of the chart `generation`.
enum class generation_timeout : chart::symbol {
    request_deadline,
    placement_limit,
    first_token_limit,
    token_gap_limit,
    probe_limit,
    stall_limit,
    commit_limit,
};

/// @return the names that the code binds to the chart `generation`
[[nodiscard]] const chart::vocabulary& generation_vocabulary();

} // namespace cyclamen::generation
