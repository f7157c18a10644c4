#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cyclamen::model {

/// Size in bytes of a block of a prompt.
constexpr std::size_t prefix_block_bytes = 256;

/// Hashes the prefixes of a prompt that end at block boundaries. The hash of a block includes all
/// blocks before it: two prompts have the same hash at an index if and only if they are equal up to
/// the end of that block (hash collisions aside). Engines identify the contents of their prefix
/// caches by these hashes.
/// @param prompt the prompt
/// @param max_blocks maximum number of blocks to hash
/// @return one hash for each complete block
[[nodiscard]] std::vector<std::uint64_t> prefix_blocks(std::string_view prompt,
                                                       std::size_t max_blocks = 64);

} // namespace cyclamen::model
