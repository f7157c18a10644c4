#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamen::core {

/// Hashes bytes with XXH3, whose results are the same in every process.
/// @param text bytes to hash
/// @param seed equal texts with different seeds have unrelated hashes
/// @return the 64-bit xxHash of the text
[[nodiscard]] std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

/// Weight of a node for a key in rendezvous hashing: nodes are preferred by descending weight.
/// @param key hash of the key
/// @param node name of the node
/// @return the weight
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view node);

} // namespace cyclamen::core
