#include "routing/target_health_chart.hpp"

namespace cyclamen::routing {

const chart::vocabulary& target_health_vocabulary()
{
    static const chart::vocabulary words{
        {"loss_seen", "success_seen", "time_passed", "leave_heard", "return_heard"},
        {"ejection_due", "ejection_allowed", "ramp_complete"},
        {"count_loss", "count_success", "forget_losses", "note_ejection", "start_ramp"},
        {"suspicion", "ejection"}};
    return words;
}

} // namespace cyclamen::routing
