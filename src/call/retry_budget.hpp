#pragma once

#include <algorithm>

namespace cyclamen::call {

/// Token bucket that limits retries to a fraction of the calls, so that retries don't multiply the
/// load during a failure.
class retry_budget {
  public:
    /// Adds the fraction of a retry that each call contributes.
    void add_call() { tokens_ = std::min(tokens_ + tokens_per_call, max_tokens); }

    /// Takes one retry from the budget.
    /// @return false if the budget is exhausted
    [[nodiscard]] bool try_acquire()
    {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

  private:
    /// Retries that each call adds to the budget.
    static constexpr double tokens_per_call = 0.1;
    static constexpr double max_tokens = 10.0;

    double tokens_ = max_tokens;
};

} // namespace cyclamen::call
