#pragma once

#include <compare>
#include <map>

#include "limits/retry_policy.hpp"

namespace cyclamen::limits {

/// Size of a retry budget.
struct retry_budget_settings {
    /// Retries that one success adds.
    const double retries_per_success = 0.1;
    /// Retries that an account has at a service at first, and at most.
    const double max_retries = 10.0;

    auto operator<=>(const retry_budget_settings&) const = default;
};

/// A token bucket for each account and service that successes fill: where a service fails for long,
/// retries add no more than a small share to its load, and one account can't use up another's.
class retry_budget final : public retry_policy {
  public:
    explicit retry_budget(retry_budget_settings settings = {}) : settings_{settings} {}

    void on_success(const core::account_name& account, const core::service_name& service) override;
    [[nodiscard]] bool try_acquire(const core::account_name& account,
                                   const core::service_name& service) override;

    /// @return how many buckets are not full; only these are kept
    [[nodiscard]] std::size_t size() const { return buckets_.size(); }

  private:
    using bucket_key = std::pair<core::account_name, core::service_name>;

    const retry_budget_settings settings_;
    std::map<bucket_key, double> buckets_;
};

} // namespace cyclamen::limits
