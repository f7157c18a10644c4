#include "generation/lineage.hpp"

namespace cyclamen::generation {

lineage lineage::extended(std::string branch, std::uint64_t first) const
{
    std::vector<api::lineage_part> parts = parts_;
    parts.push_back(api::lineage_part{std::move(branch), first});
    return lineage{std::move(parts)};
}

bool lineage::covers(std::string_view branch, std::uint64_t held, std::uint64_t size) const
{
    if (held == 0) {
        return true;
    }
    if (held > size) {
        return false;
    }
    if (branch.empty()) {
        // Without a branch, only an answer that has had a single owner is certain to be the same.
        return parts_.size() <= 1;
    }
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        if (parts_[i].branch == branch) {
            return i + 1 == parts_.size() || held <= parts_[i + 1].first;
        }
    }
    return false;
}

std::string lineage::branch() const
{
    return parts_.empty() ? std::string{} : parts_.back().branch;
}

} // namespace cyclamen::generation
