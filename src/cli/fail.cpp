#include "cli/fail.hpp"

#include <iostream>

namespace cyclamen::cli {

int fail(const absl::Status& status, int exit_status)
{
    std::cerr << "error: " << status.message() << "\n";
    return exit_status;
}

} // namespace cyclamen::cli
