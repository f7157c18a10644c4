#pragma once

#include <string>
#include <vector>

namespace cyclamen::cli {

/// Prints what log files say of one request.
/// @param request id of the request
/// @param files log files, one a machine
/// @return exit status of the process
[[nodiscard]] int explain(const std::string& request, const std::vector<std::string>& files);

} // namespace cyclamen::cli
