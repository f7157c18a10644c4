#pragma once

#include "relay/target_chooser.hpp"

namespace cyclamen::relay {

/// Selects targets in turn; the baseline in benchmarks.
class round_robin_chooser final : public target_chooser {
  public:
    [[nodiscard]] std::size_t choose(const std::vector<candidate>& candidates,
                                     const core::failure_domain_name& /*home*/) override
    {
        return next_++ % candidates.size();
    }

  private:
    std::size_t next_ = 0;
};

} // namespace cyclamen::relay
