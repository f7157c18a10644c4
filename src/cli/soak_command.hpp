#pragma once

#include <cstdint>
#include <string>

namespace cyclamen::cli {

/// Runs a soak for each of a range of seeds and prints one line per soak.
/// @param program path of this program
/// @param first_seed first seed
/// @param count number of seeds
/// @param seconds duration of the traffic of each soak
/// @param crashes true if some requests crash the runners that run them
/// @param keep true to keep the logs of soaks without violations too
/// @return exit status, exit_failure if any soak found a violated guarantee
[[nodiscard]] int soak(const std::string& program, std::uint64_t first_seed, std::uint64_t count,
                       std::uint64_t seconds, bool crashes, bool keep);

} // namespace cyclamen::cli
