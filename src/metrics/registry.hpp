#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "metrics/counter.hpp"
#include "metrics/histogram.hpp"
#include "metrics/series_labels.hpp"

namespace cyclamen::metrics {

/// All counters and histograms of an instance. The number of series is bounded: past the bound a
/// new label set gets a series that is not reported, and the report says how many were left out;
/// it is never put together with another account. Used by the decision task on its thread.
class registry {
  public:
    /// @param max_series bound on the series of all metrics together
    explicit registry(std::size_t max_series = default_max_series) : max_series_{max_series} {}

    /// @param metric name, in lower case with `_`, without prefix
    /// @param labels whose work it counts
    /// @return the counter; it lives as long as the registry
    [[nodiscard]] counter& counter_of(std::string_view metric, const series_labels& labels = {});

    /// @param metric name, in lower case with `_`, without prefix and unit
    /// @param labels whose work it measures
    /// @return the histogram; it lives as long as the registry
    [[nodiscard]] histogram& histogram_of(std::string_view metric,
                                          const series_labels& labels = {});

    /// Sets a value that goes up and down, such as a number of open requests.
    void set_gauge(std::string_view metric, double value);

    /// @return all series in the text form of Prometheus
    [[nodiscard]] std::string text() const;

    [[nodiscard]] std::size_t series_count() const { return series_count_; }

    /// Five series for each of 3,700 accounts in two classes, rounded up.
    static constexpr std::size_t default_max_series = 40'000;

  private:
    template <class Series>
    using family = std::map<series_labels, std::unique_ptr<Series>>;

    const std::size_t max_series_;
    std::size_t series_count_ = 0;
    counter omitted_series_;
    counter overflow_counter_;
    histogram overflow_histogram_;
    std::map<std::string, family<counter>, std::less<>> counters_;
    std::map<std::string, family<histogram>, std::less<>> histograms_;
    std::map<std::string, double, std::less<>> gauges_;

    template <class Series>
    Series& find_or_add(std::map<std::string, family<Series>, std::less<>>& families,
                        std::string_view metric, const series_labels& labels, Series& overflow);
};

} // namespace cyclamen::metrics
