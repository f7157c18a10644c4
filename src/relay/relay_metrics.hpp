#pragma once

#include <string>
#include <string_view>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "limits/connection_ends.hpp"
#include "metrics/registry.hpp"

namespace cyclamen::relay {

/// Metrics of requests and attempts, by client account, service and rank. Used by the relay manager
/// on the decision task.
class relay_metrics {
  public:
    /// Counts the end of a request.
    /// @param labels account, service and rank of the request
    /// @param outcome outcome of the request, as in the log
    void on_ended(const metrics::series_labels& labels, std::string_view outcome);

    /// Records how long a caller waited for its response, or for the first event of a stream.
    void on_answered(const metrics::series_labels& labels, core::duration waited);

    /// Counts a failed or rejected attempt.
    /// @param event log event of the failure
    void on_attempt(const metrics::series_labels& labels, std::string_view event);

    /// Counts connections that limits have ended.
    void on_connections_ended(const limits::connection_ends& ended);

    /// @param uneven_targets targets that are known to be faster or slower than usual
    /// @return all series in the Prometheus text format
    [[nodiscard]] std::string text(std::size_t open_requests, std::size_t targets,
                                   std::size_t uneven_targets);

  private:
    /// Bounds the memory use. Ten accounts with four services and two ranks need some hundred
    /// series.
    static constexpr std::size_t max_series = 2000;

    metrics::registry registry_{max_series};
};

} // namespace cyclamen::relay
