#include "generation/adaptive_timeout_policy.hpp"

#include <algorithm>
#include <bit>

namespace cyclamen::generation {

namespace {

int length_class_of(std::uint64_t prompt_words)
{
    return std::bit_width(prompt_words);
}

} // namespace

core::duration adaptive_timeout_policy::first_token_limit(const attempt_workload& work) const
{
    const auto known = versions_.find({work.service, work.version});
    if (known == versions_.end() || known->second.first_token_latencies.empty()) {
        return settings_.initial_first_token_limit;
    }
    // Uses the nearest observed length class that is not shorter. If there is none, scales up the
    // longest observed class, doubling the time for each missing octave.
    const int length_class = length_class_of(work.prompt_words);
    const auto& classes = known->second.first_token_latencies;
    auto found = classes.lower_bound(length_class);
    if (found == classes.end()) {
        found = std::prev(found);
    }
    const int missing_octaves = std::max(length_class - found->first, 0);
    const core::duration observed = *found->second.quantile(settings_.quantile);
    return limit_from(observed * (1LL << std::min(missing_octaves, 20)),
                      settings_.min_first_token_limit, settings_.max_first_token_limit);
}

core::duration adaptive_timeout_policy::token_gap_limit(const attempt_workload& work) const
{
    const auto known = versions_.find({work.service, work.version});
    if (known == versions_.end() || known->second.gap_count == 0) {
        return settings_.initial_gap_limit;
    }
    return known->second.gap_limit;
}

void adaptive_timeout_policy::on_first_token(const attempt_subject& subject, core::duration latency,
                                             core::instant /*now*/)
{
    versions_[{subject.service, subject.version}]
        .first_token_latencies[length_class_of(subject.prompt_words)]
        .add(latency);
}

void adaptive_timeout_policy::on_gap(const attempt_subject& subject, core::duration gap,
                                     core::instant /*now*/)
{
    version_latencies& latencies = versions_[{subject.service, subject.version}];
    latencies.token_gaps.add(gap);
    if (latencies.gap_count++ % gaps_per_update == 0) {
        latencies.gap_limit = limit_from(*latencies.token_gaps.quantile(settings_.quantile),
                                         settings_.min_gap_limit, settings_.max_gap_limit);
    }
}

core::duration adaptive_timeout_policy::limit_from(core::duration observed,
                                                   core::duration min_limit,
                                                   core::duration max_limit) const
{
    const auto limit = core::from_seconds(core::to_seconds(observed) * settings_.factor);
    return std::clamp(limit + settings_.margin, min_limit, max_limit);
}

} // namespace cyclamen::generation
