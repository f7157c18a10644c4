#include "core/hash.hpp"

#include <xxhash.h>

namespace cyclamen::core {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view node)
{
    return hash_of(node, key);
}

} // namespace cyclamen::core
