#include "relay/request_chart.hpp"

namespace cyclamen::relay {

const chart::vocabulary& request_vocabulary()
{
    static const chart::vocabulary words{
        {"caller_left",        "time_up",          "target_found",
         "target_missing",     "quarantine_found", "targets_held",
         "candidates_found",   "load_heard",       "survey_ended",
         "candidate_accepted", "candidates_lost",  "room_missing",
         "turn_missing",       "shares_exhausted", "engines_overloaded",
         "placement_due",      "attempt_rejected", "attempt_lost",
         "answer_arrived",     "stream_begun",     "events_arrived",
         "stream_finished",    "silence_noticed",  "target_alive",
         "target_mute",        "channel_lost",     "target_reached"},
        {"answer_begun", "may_have_run", "may_wait", "may_offer_again", "may_go_on", "may_move",
         "may_retry", "replaces_failure", "may_ask", "events_seen", "candidates_left", "has_turn",
         "may_stay"},
        {"seek_target",     "release_attempt",
         "ask_candidates",  "weigh_candidates",
         "note_survey",     "open_attempt",
         "close_attempt",   "ask_target",
         "deliver_events",  "deliver_answer",
         "finish_answer",   "cut_answer",
         "fail_late",       "fail_lost",
         "refuse_late",     "refuse_unplaced",
         "refuse_rejected", "refuse_quarantined",
         "refuse_held",     "refuse_overloaded",
         "refuse_waiting",  "refuse_without_share",
         "note_rejection",  "note_loss",
         "note_failure",    "note_silence",
         "note_mute",       "note_lost_channel",
         "note_caller_left"},
        {"answer_limit", "placement_pause", "survey_limit", "first_answer_limit", "pause_limit",
         "question_limit", "room_pause", "turn_pause", "offer_pause", "report_limit"}};
    return words;
}

} // namespace cyclamen::relay
