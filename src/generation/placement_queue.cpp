#include "generation/placement_queue.hpp"

#include <algorithm>

namespace cyclamen::generation {

namespace {

/// Delay before generations that found no target are tried again.
constexpr core::duration retry_period = std::chrono::milliseconds{50};

} // namespace

void placement_queue::place(const std::function<bool(core::generation_id)>& try_place,
                            core::instant now)
{
    refill(now);
    bool budget_spent = false;
    std::set<std::pair<core::instant, core::generation_id>> waiting;
    waiting.swap(resumes_);
    for (const auto& each : waiting) {
        budget_spent = budget_spent || budget_ < 1.0;
        if (budget_spent || !try_place(each.second)) {
            resumes_.insert(each);
            continue;
        }
        budget_ -= 1.0;
    }
    // New generations are placed only if the budget was sufficient for all resumed ones.
    std::deque<core::generation_id> arrived;
    arrived.swap(arrivals_);
    for (const core::generation_id id : arrived) {
        if (budget_spent || !try_place(id)) {
            arrivals_.push_back(id);
        }
    }
    retry_at_.reset();
    if (!resumes_.empty() || !arrivals_.empty()) {
        const core::duration refill_time = core::from_seconds(1.0 / rate_);
        retry_at_ = now + (budget_spent ? std::min(refill_time, retry_period) : retry_period);
    }
}

void placement_queue::refill(core::instant now)
{
    budget_ = std::min(burst_, budget_ + core::to_seconds(now - refilled_at_) * rate_);
    refilled_at_ = now;
}

} // namespace cyclamen::generation
