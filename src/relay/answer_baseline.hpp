#pragma once

#include <algorithm>
#include <deque>
#include <vector>

#include "core/time.hpp"

namespace cyclamen::relay {

/// Times that the targets of a service took to begin their latest answers; tells slow ones apart.
class answer_baseline {
  public:
    void add(core::duration waited)
    {
        if (recent_.size() == max_answers) {
            recent_.pop_front();
        }
        recent_.push_back(waited);
    }

    /// @param fallback limit while too few answers are known
    /// @return time after which an answer counts as slow
    [[nodiscard]] core::duration slow_limit(core::duration fallback) const
    {
        if (recent_.size() < min_answers) {
            return fallback;
        }
        std::vector<core::duration> sorted{recent_.begin(), recent_.end()};
        const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        return std::min(fallback, core::fraction_of(*middle, slow_factor));
    }

  private:
    static constexpr std::size_t max_answers = 32;
    static constexpr std::size_t min_answers = 4;
    static constexpr double slow_factor = 2.5;

    std::deque<core::duration> recent_;
};

} // namespace cyclamen::relay
