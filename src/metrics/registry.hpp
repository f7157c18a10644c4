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

/// All metrics of an instance. The number of series is bounded. Past the bound, a new label set
/// gets an overflow series that is not exported, and the exported text counts how often that
/// happened; its samples are never added to another account's series. Not thread-safe: used on the
/// thread of the decision task only.
class registry {
  public:
    /// @param max_series upper bound on the number of series of all metrics together
    explicit registry(std::size_t max_series = default_max_series) : max_series_{max_series} {}

    /// Finds a counter, or creates it.
    /// @param metric name in snake_case, without the common prefix and `_total`
    /// @param labels whose work is counted
    /// @return the counter, valid as long as the registry
    [[nodiscard]] counter& counter_of(std::string_view metric, const series_labels& labels = {});

    /// Finds a histogram, or creates it.
    /// @param metric name in snake_case, without the common prefix and the unit
    /// @param labels whose work is measured
    /// @return the histogram, valid as long as the registry
    [[nodiscard]] histogram& histogram_of(std::string_view metric,
                                          const series_labels& labels = {});

    /// Sets a gauge, a value that can go up and down, such as the number of open requests.
    void set_gauge(std::string_view metric, double value);

    /// @return all series in the Prometheus text exposition format
    [[nodiscard]] std::string text() const;

    [[nodiscard]] std::size_t series_count() const { return series_count_; }

    /// Five series for each of 3,700 accounts in two priority classes, rounded up.
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
