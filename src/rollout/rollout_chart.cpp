#include "rollout/rollout_chart.hpp"

namespace cyclamen::rollout {

const chart::vocabulary& rollout_vocabulary()
{
    static const chart::vocabulary words{
        {"reviewed", "vetoed", "watch_over"},
        {"target_ready", "moving", "moved", "overdue", "drained"},
        {"order_loads", "note_veto", "note_late", "note_done", "note_taken_back"},
        {"watch_period"}};
    return words;
}

} // namespace cyclamen::rollout
