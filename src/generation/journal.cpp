#include "generation/journal.hpp"

#include "core/text.hpp"

namespace cyclamen::generation {

bool journal::append(std::uint64_t first, std::span<const std::string> tokens)
{
    if (first > tokens_.size()) {
        return false;
    }
    const std::uint64_t held = tokens_.size() - first;
    if (held < tokens.size()) {
        tokens_.insert(tokens_.end(), tokens.begin() + static_cast<std::ptrdiff_t>(held),
                       tokens.end());
    }
    return true;
}

void journal::truncate(std::uint64_t count)
{
    if (count < tokens_.size()) {
        tokens_.resize(count);
    }
}

std::vector<std::string> journal::from(std::uint64_t first) const
{
    if (first >= tokens_.size()) {
        return {};
    }
    return {tokens_.begin() + static_cast<std::ptrdiff_t>(first), tokens_.end()};
}

std::vector<std::string> journal::range(std::uint64_t first, std::uint64_t end) const
{
    return {tokens_.begin() + static_cast<std::ptrdiff_t>(first),
            tokens_.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::string journal::text() const
{
    return core::join(tokens_, "");
}

} // namespace cyclamen::generation
