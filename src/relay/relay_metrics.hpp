#pragma once

#include <string>
#include <string_view>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "metrics/registry.hpp"

namespace cyclamen::relay {

/// Counts what becomes of requests and attempts, by client account, service and rank. Used by the
/// relay manager on the decision task.
class relay_metrics {
  public:
    /// Counts the end of a request.
    /// @param labels whose request it was
    /// @param outcome how it ended, as it stands in the log
    void on_ended(const metrics::series_labels& labels, std::string_view outcome);

    /// Notes how long a caller waited for its answer, or for the first event of a stream.
    void on_answered(const metrics::series_labels& labels, core::duration waited);

    /// Counts the end of an attempt that came to nothing.
    /// @param event what happened, as it stands in the log
    void on_attempt(const metrics::series_labels& labels, std::string_view event);

    /// @return all series in the text form of Prometheus
    [[nodiscard]] std::string text(std::size_t open_requests, std::size_t targets);

  private:
    /// Ten accounts at four services in two ranks need some hundred; a machine has little memory.
    static constexpr std::size_t max_series = 2000;

    metrics::registry registry_{max_series};
};

} // namespace cyclamen::relay
