#pragma once

#include <absl/status/status.h>

namespace cyclamen::cli {

/// Prints an error to standard error.
/// @param status the error
/// @param exit_status exit status of the command
/// @return exit_status
int fail(const absl::Status& status, int exit_status);

} // namespace cyclamen::cli
