#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "relay/relay_settings.hpp"

namespace cyclamen::relay {

/// This instance's share of the fleet's retry budget of each service: a ratio of its own requests
/// plus an equal share of the slack. Used by the relay manager on the decision task.
class retry_budget {
  public:
    explicit retry_budget(retry_settings settings) : settings_{settings} {}

    /// @param now start of this process. For one window it uses only the margin of its slack, since
    ///            the process before it may have used the rest.
    void start(core::instant now) { slack_from_ = now + settings_.window; }

    /// Sets the number of instances that share the slack; none is used while it is unknown.
    void set_instances(std::size_t count) { instances_ = count; }

    /// Counts a request for a service.
    void on_request(const core::service_name& service, core::instant now);

    /// Counts a retry of a request.
    void on_retry(const core::service_name& service, core::instant now);

    /// @return true if the budget allows one more retry
    [[nodiscard]] bool allows(const core::service_name& service, core::instant now) const;

  private:
    /// Counters of one slice of the sliding window.
    struct slice {
        core::instant begin;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    const retry_settings settings_;
    core::instant slack_from_{core::duration::min()};
    std::size_t instances_ = 0;
    std::map<core::service_name, std::deque<slice>> slices_;

    slice& current_slice(const core::service_name& service, core::instant now);
};

} // namespace cyclamen::relay
