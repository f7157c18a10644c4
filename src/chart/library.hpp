#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

#include "chart/chart.hpp"

namespace cyclamen::chart {

/// The chart files that a process runs: those compiled into the binary, of which a folder may
/// replace some.
class library {
  public:
    /// @return the charts compiled into the binary
    [[nodiscard]] static library embedded();

    /// Reads the .json files of a folder. They replace the embedded charts of the same names.
    /// @param folder path of the folder
    /// @return the charts, or not_found if the folder can't be read
    [[nodiscard]] static absl::StatusOr<library> read(const std::string& folder);

    /// Loads one chart.
    /// @param chart_name name of the file without its extension
    /// @param bound_names names that code binds
    /// @return the chart, or the error of load(); not_found if there is no such file
    [[nodiscard]] absl::StatusOr<std::shared_ptr<const chart>>
    load(std::string_view chart_name, const vocabulary& bound_names) const;

    /// @return names and contents of all chart files, sorted by name
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
