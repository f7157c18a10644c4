#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::generation {

/// Generations that wait for a target: resumed ones first, nearest deadline first and within a
/// budget, so that the loss of many engines at once doesn't flood the rest; then new ones in order
/// of arrival. Owned by the generation manager.
class placement_queue {
  public:
    /// @param resumes_per_second how many resumed generations may be placed in a second
    /// @param burst how many may be placed at once after a quiet time
    placement_queue(double resumes_per_second, double burst)
        : rate_{resumes_per_second}, burst_{burst}, budget_{burst}
    {
    }

    void add_arrival(core::generation_id id) { arrivals_.push_back(id); }

    /// @param id a generation that has tokens already, or lost an attempt
    /// @param deadline when its caller wants the whole answer
    void add_resume(core::generation_id id, core::instant deadline)
    {
        resumes_.emplace(deadline, id);
    }

    /// Tries to place what waits.
    /// @param try_place places one generation; true where it needs no place any more
    /// @param now current instant
    void place(const std::function<bool(core::generation_id)>& try_place, core::instant now);

    /// @return when to try again, empty where nothing waits
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
