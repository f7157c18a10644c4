#include "model/prefix_blocks.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace cyclamen::model {

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt, std::size_t max_blocks)
{
    const std::size_t count = std::min(prompt.size() / prefix_block_bytes, max_blocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::uint64_t previous = 0;
    for (std::size_t i = 0; i < count; ++i) {
        previous =
            core::hash_of(prompt.substr(i * prefix_block_bytes, prefix_block_bytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace cyclamen::model
