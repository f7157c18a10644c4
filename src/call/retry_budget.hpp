#pragma once

#include <algorithm>

namespace cyclamen::call {

/// Bounds retries to a part of the calls, so that retries don't multiply the load of a failure.
class retry_budget {
  public:
    /// Adds the part of a retry that one call earns.
    void add_call() { tokens_ = std::min(tokens_ + tokens_per_call, max_tokens); }

    /// Takes one retry.
    /// @return false where the budget is spent
    [[nodiscard]] bool try_acquire()
    {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

  private:
    /// Retries that one call earns.
    static constexpr double tokens_per_call = 0.1;
    static constexpr double max_tokens = 10.0;

    double tokens_ = max_tokens;
};

} // namespace cyclamen::call
