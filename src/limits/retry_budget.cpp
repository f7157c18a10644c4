#include "limits/retry_budget.hpp"

namespace cyclamen::limits {

void retry_budget::on_success(const core::account_name& account, const core::service_name& service)
{
    const auto found = buckets_.find({account, service});
    if (found == buckets_.end()) {
        return;
    }
    found->second += settings_.retries_per_success;
    if (found->second >= settings_.max_retries) {
        buckets_.erase(found);
    }
}

bool retry_budget::try_acquire(const core::account_name& account, const core::service_name& service)
{
    const auto bucket = buckets_.try_emplace({account, service}, settings_.max_retries).first;
    if (bucket->second < 1.0) {
        return false;
    }
    bucket->second -= 1.0;
    return true;
}

} // namespace cyclamen::limits
