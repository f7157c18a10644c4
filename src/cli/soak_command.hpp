#pragma once

#include <cstdint>
#include <string>

namespace cyclamen::cli {

/// Which faults a soak plays.
enum class soak_variant {
    /// Faults of all kinds.
    mixed,
    /// The same, and some requests crash the runners that run them.
    crashes,
    /// Runners and connections fall silent, and nothing else.
    silences,
};

/// Runs a soak for each of a range of seeds and prints one line per soak.
/// @param program path of this program
/// @param first_seed first seed
/// @param count number of seeds
/// @param seconds duration of the traffic of each soak
/// @param variant which faults are played
/// @param keep true to keep the logs of soaks without violations too
/// @return exit status, exit_failure if any soak found a violated guarantee
[[nodiscard]] int soak(const std::string& program, std::uint64_t first_seed, std::uint64_t count,
                       std::uint64_t seconds, soak_variant variant, bool keep);

} // namespace cyclamen::cli
