#include "membership/instance_chart.hpp"

namespace cyclamen::membership {

const chart::vocabulary& instance_vocabulary()
{
    static const chart::vocabulary words{{"configuration_ready", "stop_requested", "superseded",
                                          "work_finished", "drain_overdue", "departed"},
                                         {},
                                         {"announce_serving", "announce_draining", "refuse_work",
                                          "note_cut_work", "announce_gone", "end_process"},
                                         {"drain_limit", "departure_time"}};
    return words;
}

} // namespace cyclamen::membership
