#include "relay/silence_policy.hpp"

namespace cyclamen::relay {

namespace {

/// Maximum age of a load report on arrival: it may lack runs that began later.
constexpr core::duration max_report_age = std::chrono::seconds{1};

} // namespace

silence_cause progress_silence_policy::explain(const silence_evidence& evidence) const
{
    bool is_lost = evidence.is_new_incarnation;
    switch (evidence.progress.listing) {
    case run_listing::unknown:
        break;
    case run_listing::absent:
        // The report doesn't name the requests in the queue.
        is_lost = is_lost || (evidence.waiting == 0 && evidence.attempt_age > max_report_age);
        break;
    case run_listing::present:
        is_lost = is_lost || (evidence.last_event.has_value() &&
                              evidence.progress.events_made > *evidence.last_event);
        break;
    }
    return is_lost ? silence_cause::lost_channel : silence_cause::slow_target;
}

} // namespace cyclamen::relay
