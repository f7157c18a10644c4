#pragma once

#include "chart/vocabulary.hpp"

namespace cyclamen::membership {

/// Events of the chart `instance`, in the order of instance_vocabulary().
enum class instance_event : chart::symbol {
    configuration_ready,
    stop_requested,
    superseded,
    work_finished,
    drain_overdue,
    departed,
};

/// Actions of the chart `instance`.
enum class instance_action : chart::symbol {
    announce_serving,
    announce_draining,
    refuse_work,
    note_cut_work,
    announce_gone,
    end_process,
};

/// Timeouts of the chart `instance`.
enum class instance_timeout : chart::symbol { drain_limit, departure_time };

/// @return the event, action and timeout names of the chart `instance` that the code implements
[[nodiscard]] const chart::vocabulary& instance_vocabulary();

} // namespace cyclamen::membership
