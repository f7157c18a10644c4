#include "relay/retry_budget.hpp"

namespace cyclamen::relay {

namespace {

/// Resolution of the sliding window.
constexpr int slices_per_window = 20;

} // namespace

void retry_budget::on_request(const core::service_name& service, core::instant now)
{
    ++current_slice(service, now).requests;
}

void retry_budget::on_retry(const core::service_name& service, core::instant now)
{
    ++current_slice(service, now).retries;
}

bool retry_budget::allows(const core::service_name& service, core::instant now) const
{
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    const auto found = slices_.find(service);
    if (found != slices_.end()) {
        for (const slice& each : found->second) {
            if (now - each.begin < settings_.window) {
                requests += each.requests;
                retries += each.retries;
            }
        }
    }
    const double usable =
        now < slack_from_ ? 1.0 - settings_.used_fraction : settings_.used_fraction;
    const double slack =
        instances_ == 0 ? 0.0 : usable * settings_.slack / static_cast<double>(instances_);
    const double allowed =
        settings_.used_fraction * settings_.ratio * static_cast<double>(requests) + slack;
    return static_cast<double>(retries + 1) <= allowed;
}

retry_budget::slice& retry_budget::current_slice(const core::service_name& service,
                                                 core::instant now)
{
    std::deque<slice>& slices = slices_[service];
    while (!slices.empty() && now - slices.front().begin >= settings_.window) {
        slices.pop_front();
    }
    if (slices.empty() || now - slices.back().begin >= settings_.window / slices_per_window) {
        slices.push_back(slice{now});
    }
    return slices.back();
}

} // namespace cyclamen::relay
