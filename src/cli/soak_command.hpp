#pragma once

#include <cstdint>
#include <string>

namespace cyclamen::cli {

/// Runs soaks with a series of seeds and prints a line for each.
/// @param program path of this program
/// @param first first seed
/// @param count number of seeds
/// @param seconds length of each
/// @param keep true where logs of soaks without a finding are kept too
/// @return exit status of the process: failed where a promise was broken
[[nodiscard]] int soak(const std::string& program, std::uint64_t first_seed, std::uint64_t count,
                       std::uint64_t seconds, bool keep);

} // namespace cyclamen::cli
