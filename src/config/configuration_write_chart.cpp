#include "config/configuration_write_chart.hpp"

namespace cyclamen::config {

const chart::vocabulary& configuration_write_vocabulary()
{
    static const chart::vocabulary words{
        {"rows_read", "committed", "condition_failed", "outcome_unknown", "table_unavailable",
         "limit_passed", "retry_due"},
        {"head_went_back", "expectation_met", "own_write_found", "table_restored", "head_unchanged",
         "write_ruled_out"},
        {"read_head", "commit", "read_back", "fence", "take_over", "answer_accepted",
         "answer_conflict", "answer_unavailable", "answer_undetermined"},
        {"write_limit", "doubt_limit", "retry_pause"}};
    return words;
}

} // namespace cyclamen::config
