#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::generation {

/// Generations that wait for a target. Resumed ones come first, by earliest deadline and limited by
/// a token bucket, so that the loss of many engines at once doesn't overload the remaining ones.
/// New ones follow in order of arrival. Owned by the generation manager.
class placement_queue {
  public:
    /// @param resumes_per_second refill rate: how many resumed generations may be placed per second
    /// @param burst bucket size: how many may be placed at once after an idle time
    placement_queue(double resumes_per_second, double burst)
        : rate_{resumes_per_second}, burst_{burst}, budget_{burst}
    {
    }

    void add_arrival(core::generation_id id) { arrivals_.push_back(id); }

    /// @param id a generation that already has tokens or has lost an attempt
    /// @param deadline when its complete answer is due
    void add_resume(core::generation_id id, core::instant deadline)
    {
        resumes_.emplace(deadline, id);
    }

    /// Tries to place the waiting generations.
    /// @param try_place tries to place one generation; returns true if it no longer waits
    /// @param now current instant
    void place(const std::function<bool(core::generation_id)>& try_place, core::instant now);

    /// @return when to call place() again, empty if nothing waits
    [[nodiscard]] std::optional<core::instant> next_deadline() const { return retry_at_; }

  private:
    const double rate_;
    const double burst_;
    double budget_;
    core::instant refilled_at_{};
    std::set<std::pair<core::instant, core::generation_id>> resumes_;
    std::deque<core::generation_id> arrivals_;
    std::optional<core::instant> retry_at_;

    void refill(core::instant now);
};

} // namespace cyclamen::generation
