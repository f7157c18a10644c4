#pragma once

#include <compare>
#include <map>

#include "limits/retry_policy.hpp"

namespace cyclamen::limits {

/// Size of a retry budget and how it refills.
struct retry_budget_settings {
    /// Retries that each success adds to the budget.
    const double retries_per_success = 0.1;
    /// Initial and maximum number of retries of an account at a service.
    const double max_retries = 10.0;

    auto operator<=>(const retry_budget_settings&) const = default;
};

/// One token bucket for each account and service, refilled by successes: while a service fails,
/// retries add only a small fraction to its load, and one account can't use up the budget of
/// another.
class retry_budget final : public retry_policy {
  public:
    explicit retry_budget(retry_budget_settings settings = {}) : settings_{settings} {}

    void on_success(const core::account_name& account, const core::service_name& service) override;
    [[nodiscard]] bool try_acquire(const core::account_name& account,
                                   const core::service_name& service) override;

    /// @return number of buckets that are not full; full ones are not stored
    [[nodiscard]] std::size_t size() const { return buckets_.size(); }

  private:
    using bucket_key = std::pair<core::account_name, core::service_name>;

    const retry_budget_settings settings_;
    std::map<bucket_key, double> buckets_;
};

} // namespace cyclamen::limits
