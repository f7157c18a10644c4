#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// The chart files that a process runs: those compiled into the binary, or those of a folder.
class library {
  public:
    /// @return the charts compiled into the binary
    [[nodiscard]] static library embedded();

    /// Reads every .json file of a folder over the embedded charts.
    /// @param folder path of the folder
    /// @return the charts, or not_found where the folder can't be read
    [[nodiscard]] static absl::StatusOr<library> read(const std::string& folder);

    /// Loads one chart.
    /// @param chart_name name of the file without its ending
    /// @param words names that code binds
    /// @return the chart, or the error of load(); not_found where there is no such file
    [[nodiscard]] absl::StatusOr<std::shared_ptr<const chart>>
    load(std::string_view chart_name, const vocabulary& bound_names) const;

    /// @return names and texts of all chart files, sorted by name
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& files() const
    {
        return files_;
    }

  private:
    explicit library(std::vector<std::pair<std::string, std::string>> files)
        : files_{std::move(files)}
    {
    }

    std::vector<std::pair<std::string, std::string>> files_;
};

} // namespace cyclamen::chart
