#pragma once

#include "core/identifier.hpp"

namespace cyclamen::limits {

/// Decides whether a failed call may be tried again. Called on the decision task.
class retry_policy {
  public:
    virtual ~retry_policy() = default;

    /// Notes that a call of an account to a service succeeded.
    virtual void on_success(const core::account_name& account,
                            const core::service_name& service) = 0;

    /// @param account whose call failed
    /// @param service where it failed
    /// @return true where it may be tried again now; this counts as one retry
    [[nodiscard]] virtual bool try_acquire(const core::account_name& account,
                                           const core::service_name& service) = 0;
};

/// The naive version: every call may be tried again.
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
