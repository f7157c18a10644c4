#pragma once

#include "chart/vocabulary.hpp"

namespace cyclamen::generation {

/// Events of the chart `checkpoint`, in the order of checkpoint_vocabulary().
enum class checkpoint_event : chart::symbol {
    held,
    holder_overdue,
    holder_forgot,
    superseded,
    peers_changed,
};

/// Guards of the chart `checkpoint`.
enum class checkpoint_guard : chart::symbol { holder_left };

/// Actions of the chart `checkpoint`.
enum class checkpoint_action : chart::symbol { open_at_holder, release_held, release_all, give_up };

/// @return the names that the code binds to the chart `checkpoint`
[[nodiscard]] const chart::vocabulary& checkpoint_vocabulary();

/// Events of the chart `takeover`, in the order of takeover_vocabulary().
enum class takeover_event : chart::symbol { answered, limit_passed };

/// Guards of the chart `takeover`.
enum class takeover_guard : chart::symbol { all_answered };

/// Actions of the chart `takeover`.
enum class takeover_action : chart::symbol { ask_holders, note_answer, note_silent, settle };

/// @return the names that the code binds to the chart `takeover`
[[nodiscard]] const chart::vocabulary& takeover_vocabulary();

} // namespace cyclamen::generation
