#pragma once

#include <string>
#include <vector>

namespace cyclamen::cli {

/// Prints the log lines that concern one request, in the order of time.
/// @param request id of the request
/// @param files log files, one per machine
/// @return exit status, exit_failure if no log contains the request
[[nodiscard]] int explain(const std::string& request, const std::vector<std::string>& files);

} // namespace cyclamen::cli
