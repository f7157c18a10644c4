#include "load/load_report.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamen::load {

namespace {

/// Without a known loss, a gap counts as an interruption if it is more than this many times the
/// mean gap of its stream and exceeds the mean by at least min_interruption.
constexpr double interruption_factor = 3.0;
constexpr core::duration min_interruption = std::chrono::milliseconds{20};

nlohmann::json quantiles(const std::vector<core::duration>& sorted)
{
    return {{"count", sorted.size()},
            {"p50_ms", core::to_milliseconds(quantile(sorted, 0.50))},
            {"p95_ms", core::to_milliseconds(quantile(sorted, 0.95))},
            {"p99_ms", core::to_milliseconds(quantile(sorted, 0.99))},
            {"max_ms", core::to_milliseconds(quantile(sorted, 1.0))}};
}

} // namespace

core::duration quantile(const std::vector<core::duration>& sorted, double probability)
{
    if (sorted.empty()) {
        return core::duration::zero();
    }
    const double rank = std::ceil(probability * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

std::uint64_t load_report::count(outcome result) const
{
    return static_cast<std::uint64_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [&](const finished_request& each) { return each.result == result; }));
}

std::uint64_t load_report::useful_tokens() const
{
    std::uint64_t tokens = 0;
    for (const finished_request& each : requests_) {
        tokens += each.result == outcome::whole ? each.tokens : 0;
    }
    return tokens;
}

std::vector<core::duration> load_report::first_token_latencies() const
{
    std::vector<core::duration> latencies;
    for (const finished_request& each : requests_) {
        if (each.streaming && each.result == outcome::whole) {
            latencies.push_back(each.first_token);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies;
}

std::vector<core::duration> load_report::interruptions() const
{
    std::vector<core::duration> gaps;
    for (const finished_request& each : requests_) {
        const core::duration excess = each.longest_gap - each.mean_gap;
        const bool is_long = core::to_seconds(each.longest_gap) >
                             interruption_factor * core::to_seconds(each.mean_gap);
        const bool was_lost = each.attempts > 1 || each.reconnected;
        if (each.streaming && (was_lost || (excess >= min_interruption && is_long))) {
            gaps.push_back(excess);
        }
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps;
}

nlohmann::json load_report::to_json() const
{
    return {{"requests", size()},
            {"whole", count(outcome::whole)},
            {"refused", count(outcome::refused)},
            {"failed", count(outcome::failed)},
            {"wrong", count(outcome::wrong)},
            {"useful_tokens", useful_tokens()},
            {"first_token", quantiles(first_token_latencies())},
            {"interruption", quantiles(interruptions())}};
}

} // namespace cyclamen::load
