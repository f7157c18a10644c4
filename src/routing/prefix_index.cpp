#include "routing/prefix_index.hpp"

#include <algorithm>

namespace cyclamen::routing {

namespace {

/// Weight of an entry that is older than a gap in the cache events of its target.
constexpr double weight_after_gap = 0.5;

} // namespace

void prefix_index::on_held(target_number target, std::span<const std::uint64_t> blocks,
                           core::instant at)
{
    for (const std::uint64_t block : blocks) {
        block_entry& entry = find_or_add(block);
        const auto begin = entry.holders.begin();
        const auto end = begin + static_cast<std::ptrdiff_t>(entry.holder_count);
        auto position =
            std::find_if(begin, end, [&](const holder& h) { return h.target == target; });
        if (position == end && entry.holder_count < holders_per_block) {
            ++entry.holder_count;
            *position = holder{target, at};
        }
        else if (position == end) {
            position = std::ranges::min_element(entry.holders, {}, &holder::reported_at);
            *position = holder{target, at};
        }
        position->reported_at = std::max(position->reported_at, at);
    }
}

void prefix_index::on_dropped(target_number target, std::span<const std::uint64_t> blocks,
                              core::instant at)
{
    for (const std::uint64_t block : blocks) {
        const auto found = blocks_.find(block);
        if (found == blocks_.end()) {
            continue;
        }
        block_entry& entry = found->second;
        for (std::size_t i = 0; i < entry.holder_count; ++i) {
            if (entry.holders[i].target == target && entry.holders[i].reported_at <= at) {
                entry.holders[i] = entry.holders[--entry.holder_count];
                break;
            }
        }
    }
}

void prefix_index::on_gap(target_number target, core::instant at)
{
    validity_[target.value()].uncertain_before = at;
}

void prefix_index::forget(target_number target, core::instant at)
{
    validity_[target.value()].invalid_before = at;
}

std::vector<prefix_holder> prefix_index::holders(std::span<const std::uint64_t> blocks,
                                                 core::instant now) const
{
    std::vector<prefix_holder> found;
    const auto is_listed = [&](target_number target) {
        return std::ranges::any_of(found,
                                   [&](const prefix_holder& h) { return h.target == target; });
    };
    for (std::size_t count = blocks.size(); count > 0; --count) {
        const auto entry = blocks_.find(blocks[count - 1]);
        if (entry == blocks_.end()) {
            continue;
        }
        for (std::size_t i = 0; i < entry->second.holder_count; ++i) {
            const holder& candidate = entry->second.holders[i];
            const target_validity validity = validity_of(candidate.target);
            if (found.size() < holders_per_block &&
                candidate.reported_at > validity.invalid_before &&
                now - candidate.reported_at < entry_lifetime && !is_listed(candidate.target)) {
                const double weight =
                    candidate.reported_at > validity.uncertain_before ? 1.0 : weight_after_gap;
                found.push_back(
                    prefix_holder{candidate.target, weight * static_cast<double>(count)});
            }
        }
        if (found.size() >= holders_per_block) {
            break;
        }
    }
    return found;
}

prefix_index::block_entry& prefix_index::find_or_add(std::uint64_t block)
{
    const auto found = blocks_.find(block);
    if (found != blocks_.end()) {
        lru_order_.splice(lru_order_.end(), lru_order_, found->second.lru_position);
        return found->second;
    }
    if (blocks_.size() >= max_blocks_) {
        blocks_.erase(lru_order_.front());
        lru_order_.pop_front();
    }
    lru_order_.push_back(block);
    block_entry& added = blocks_[block];
    added.lru_position = std::prev(lru_order_.end());
    return added;
}

prefix_index::target_validity prefix_index::validity_of(target_number target) const
{
    const auto found = validity_.find(target.value());
    return found == validity_.end() ? target_validity{} : found->second;
}

} // namespace cyclamen::routing
