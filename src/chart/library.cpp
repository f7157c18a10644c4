#include "chart/library.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "chart/loader.hpp"
#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::chart {

library library::embedded()
{
    return library{{
#include "embedded_charts.inc"
    }};
}

absl::StatusOr<library> library::read(const std::string& folder)
{
    std::error_code failure;
    std::filesystem::directory_iterator entries{folder, failure};
    if (failure) {
        return core::make_error(
            core::error_kind::not_found,
            core::concat("can't read chart folder ", folder, ": ", failure.message()),
            "specify a folder of chart files");
    }
    const library base = embedded();
    std::map<std::string, std::string> files{base.files_.begin(), base.files_.end()};
    for (const auto& entry : entries) {
        if (entry.path().extension() != ".json") {
            continue;
        }
        std::ifstream input{entry.path()};
        std::ostringstream text;
        text << input.rdbuf();
        files[entry.path().stem().string()] = text.str();
    }
    return library{{files.begin(), files.end()}};
}

absl::StatusOr<std::shared_ptr<const chart>> library::load(std::string_view chart_name,
                                                           const vocabulary& bound_names) const
{
    const auto found = std::find_if(files_.begin(), files_.end(),
                                    [&](const auto& file) { return file.first == chart_name; });
    if (found == files_.end()) {
        return core::make_error(core::error_kind::not_found, core::concat("no chart ", chart_name),
                                "add the file to the chart folder");
    }
    return cyclamen::chart::load(found->second, core::concat(chart_name, ".json"), bound_names);
}

} // namespace cyclamen::chart
