#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cyclamen::model {

/// Bytes of a prompt that one block of a prefix covers.
constexpr std::size_t prefix_block_bytes = 256;

/// Hashes the prefixes of a prompt, a block each: two prompts share the hash at an index just where
/// they are equal up to the end of that block. Engines name what their caches hold by these hashes.
/// @param prompt the prompt
/// @param most_blocks how many blocks to hash at most
/// @return one hash for each whole block
[[nodiscard]] std::vector<std::uint64_t> prefix_blocks(std::string_view prompt,
                                                       std::size_t max_blocks = 64);

} // namespace cyclamen::model
