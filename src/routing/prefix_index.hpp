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

/// Numbers the targets that one chooser has met.
using target_number = core::number<struct target_number_tag>;

/// A target that probably holds the first blocks of a prompt.
struct prefix_holder {
    const target_number target;
    /// How many blocks; half as many where events of the target were lost since it was heard.
    const double blocks;

    auto operator<=>(const prefix_holder&) const = default;
};

/// Which targets hold which prompt prefixes, as far as this instance can know: from what it sent
/// and from cache events, which come late and with gaps. Bounded in memory: the blocks that were
/// not used for longest go first. Used by a target chooser on the decision task.
class prefix_index {
  public:
    /// @param most_blocks bound on the blocks that are known
    explicit prefix_index(std::size_t max_blocks = default_max_blocks) : max_blocks_{max_blocks} {}

    /// Notes that a target holds blocks, because a prompt was sent there or by its own word.
    /// @param at when it held them
    void on_held(target_number target, std::span<const std::uint64_t> blocks, core::instant at);

    /// Notes that a target dropped blocks; what was heard after that instant stays.
    void on_dropped(target_number target, std::span<const std::uint64_t> blocks, core::instant at);

    /// Notes that events of a target were lost: what was heard before is in doubt.
    void on_gap(target_number target, core::instant at);

    /// Forgets what a target held, after it died.
    void forget(target_number target, core::instant at);

    /// Drops the marks of a target that is no longer declared; its number is not used again.
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
    /// A target is taken to have dropped what nobody used for so long.
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

    /// Instants before which what was heard of a target is in doubt or void.
    struct target_validity {
        core::instant uncertain_before{core::duration::min()};
        core::instant invalid_before{core::duration::min()};
    };

    const std::size_t max_blocks_;
    std::unordered_map<std::uint64_t, block_entry> blocks_;
    std::list<std::uint64_t> lru_order_;
    std::unordered_map<std::uint64_t, target_validity> validity_;

    block_entry& find_or_add(std::uint64_t block);
    [[nodiscard]] target_validity validity_of(target_number target) const;
};

} // namespace cyclamen::routing
