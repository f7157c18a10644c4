#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::routing {

/// Number of a target within one chooser; never reused.
using target_number = core::number<struct target_number_tag>;

/// A target that probably holds the first blocks of a prompt.
struct prefix_holder {
    const target_number target;
    /// Number of blocks; halved if cache events of the target were lost since the last report.
    const double blocks;

    auto operator<=>(const prefix_holder&) const = default;
};

/// Tracks which targets hold which prompt prefixes, from the prompts that this instance sent and
/// from cache events, which arrive late and with gaps. Memory is bounded: the least recently used
/// blocks are evicted first. Used by a target chooser on the decision task.
class prefix_index {
  public:
    /// @param max_blocks maximum number of blocks in the index
    explicit prefix_index(std::size_t max_blocks = default_max_blocks) : max_blocks_{max_blocks} {}

    /// Records that a target holds blocks, because a prompt was sent there or because the target
    /// reported it.
    /// @param at time at which the target held them
    void on_held(target_number target, std::span<const std::uint64_t> blocks, core::instant at);

    /// Records that a target evicted blocks. Reports newer than `at` stay in the index.
    void on_dropped(target_number target, std::span<const std::uint64_t> blocks, core::instant at);

    /// Records that cache events of a target were lost: older entries become uncertain.
    void on_gap(target_number target, core::instant at);

    /// Invalidates all entries of a target up to `at`, after a crash.
    void forget(target_number target, core::instant at);

    /// Removes the validity limits of a target that is no longer declared. Its number is not
    /// reused.
    void remove(target_number target) { validity_.erase(target.value()); }

    /// @param blocks the blocks of a prompt in order
    /// @param now current instant
    /// @return the targets that hold the longest known prefixes, longest first, at most
    /// holders_per_block
    [[nodiscard]] std::vector<prefix_holder> holders(std::span<const std::uint64_t> blocks,
                                                     core::instant now) const;

    [[nodiscard]] std::size_t size() const { return blocks_.size(); }

    static constexpr std::size_t default_max_blocks = 32'768;
    static constexpr std::size_t holders_per_block = 4;
    /// Blocks that were not used for this long are assumed to be evicted.
    static constexpr core::duration entry_lifetime = std::chrono::minutes{10};

  private:
    struct holder {
        target_number target;
        core::instant reported_at;
    };

    struct block_entry {
        std::array<holder, holders_per_block> holders;
        std::size_t holder_count = 0;
        std::list<std::uint64_t>::iterator lru_position;
    };

    /// Entries of a target that are older than these instants are uncertain or invalid.
    struct target_validity {
        core::instant uncertain_before{core::duration::min()};
        core::instant invalid_before{core::duration::min()};
    };

    const std::size_t max_blocks_;
    std::unordered_map<std::uint64_t, block_entry> blocks_;
    /// Least recently used block first.
    std::list<std::uint64_t> lru_order_;
    std::unordered_map<std::uint64_t, target_validity> validity_;

    block_entry& find_or_add(std::uint64_t block);
    [[nodiscard]] target_validity validity_of(target_number target) const;
};

} // namespace cyclamen::routing
