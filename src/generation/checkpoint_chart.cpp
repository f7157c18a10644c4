#include "generation/checkpoint_chart.hpp"

namespace cyclamen::generation {

const chart::vocabulary& checkpoint_vocabulary()
{
    static const chart::vocabulary words{
        {"held", "holder_overdue", "holder_forgot", "superseded", "peers_changed"},
        {"holder_left"},
        {"open_at_holder", "release_held", "release_all", "give_up"},
        {}};
    return words;
}

const chart::vocabulary& takeover_vocabulary()
{
    static const chart::vocabulary words{{"answered", "limit_passed"},
                                         {"all_answered"},
                                         {"ask_holders", "note_answer", "note_silent", "settle"},
                                         {"answer_limit"}};
    return words;
}

} // namespace cyclamen::generation
