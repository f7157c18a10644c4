#include "relay/silence_policy.hpp"

namespace cyclamen::relay {

namespace {

/// Maximum age of a load report on arrival: it may lack runs that began later.
constexpr core::duration max_report_age = std::chrono::seconds{1};

/// Time within which a target answers that wasn't paused just before. What a paused one has made
/// meanwhile may arrive after its report.
constexpr core::duration prompt_answer_time = std::chrono::milliseconds{100};

} // namespace

silence_cause progress_silence_policy::explain(const silence_evidence& evidence) const
{
    if (evidence.is_new_incarnation) {
        return silence_cause::lost_channel;
    }
    if (evidence.answer_delay > prompt_answer_time) {
        return silence_cause::slow_target;
    }
    bool is_lost = false;
    switch (evidence.progress.listing) {
    case run_listing::unknown:
        break;
    case run_listing::absent:
        // The report doesn't name the requests in the queue.
        is_lost = evidence.waiting == 0 && evidence.time_since_first > max_report_age;
        break;
    case run_listing::present:
        is_lost =
            evidence.last_event.has_value() && evidence.progress.events_made > *evidence.last_event;
        break;
    }
    return is_lost ? silence_cause::lost_channel : silence_cause::slow_target;
}

} // namespace cyclamen::relay
