#pragma once

#include "core/identifier.hpp"

namespace cyclamen::limits {

/// Decides whether a failed call may be retried. Called on the decision task.
class retry_policy {
  public:
    virtual ~retry_policy() = default;

    /// Records that a call of an account to a service succeeded.
    virtual void on_success(const core::account_name& account,
                            const core::service_name& service) = 0;

    /// Asks to retry a failed call; a granted retry is charged to the budget.
    /// @param account the account whose call failed
    /// @param service the service that failed it
    /// @return true if it may be retried now
    [[nodiscard]] virtual bool try_acquire(const core::account_name& account,
                                           const core::service_name& service) = 0;
};

/// Baseline for comparisons: every call may be retried.
class unlimited_retries final : public retry_policy {
  public:
    void on_success(const core::account_name& /*account*/,
                    const core::service_name& /*service*/) override
    {
    }

    [[nodiscard]] bool try_acquire(const core::account_name& /*account*/,
                                   const core::service_name& /*service*/) override
    {
        return true;
    }
};

} // namespace cyclamen::limits
