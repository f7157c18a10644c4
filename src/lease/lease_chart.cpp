#include "lease/lease_chart.hpp"

namespace cyclamen::lease {

const chart::vocabulary& lease_vocabulary()
{
    static const chart::vocabulary bound_names{
        {"stopped", "poll_due", "row_seen", "written", "conflicted", "write_in_doubt",
         "answer_overdue", "renew_due", "lapsed"},
        {"row_lapsed", "row_is_mine", "in_time"},
        {"read_row", "note_row", "write_claim", "write_renewal", "extend", "start_orders",
         "stop_orders"},
        {"poll_interval", "answer_limit", "renew_interval", "lease_left"}};
    return bound_names;
}

} // namespace cyclamen::lease
