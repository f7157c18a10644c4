#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>

#include "api/target_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::standin {

/// How a stand-in engine reports on itself.
struct status_settings {
    /// How old the load is that it reports.
    const core::duration lag = std::chrono::milliseconds{500};
    /// Requests that its batch holds well.
    const std::uint32_t capacity = 64;
    /// Prefix blocks that its cache holds.
    const std::size_t cache_blocks = 4096;
    /// One cache event in so many is never published; 0 for none.
    const std::uint64_t omitted_event_interval = 20;

    auto operator<=>(const status_settings&) const = default;
};

/// What a stand-in engine says about its load, with a lag, and about its prefix cache, with gaps.
/// Opens no socket and reads no clock.
class engine_status {
  public:
    explicit engine_status(status_settings settings) : settings_{settings} {}

    /// Notes how many requests run from now on.
    void on_running_count(std::size_t running, core::instant now);

    /// Takes a prompt into the cache.
    void record_prompt(std::string_view prompt, core::instant now);

    /// Empties the cache, as when the engine starts again.
    void clear();

    /// @param leaving whether the engine takes no new work
    /// @param now current instant
    /// @return the load as it was a lag ago
    [[nodiscard]] api::target_load_told load(bool leaving, core::instant now) const;

    /// @param after number of the last change that the asker knows
    /// @param now current instant
    /// @return the changes past it that are as old as the lag
    [[nodiscard]] std::vector<api::target_cache_told> cache_events(std::uint64_t after,
                                                                   core::instant now) const;

  private:
    struct cache_event {
        std::uint64_t number;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> dropped;
        core::instant recorded_at;
    };

    /// Older changes than these are not published any more.
    static constexpr std::size_t max_cache_events = 1000;

    const status_settings settings_;
    std::deque<std::pair<core::instant, std::size_t>> running_;
    std::deque<cache_event> cache_events_;
    std::uint64_t last_event_ = 0;
    std::list<std::uint64_t> least_recent_first_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_blocks_;

    void touch_block(std::uint64_t block, std::vector<std::uint64_t>& stored);
    void evict_blocks(std::vector<std::uint64_t>& dropped);
};

} // namespace cyclamen::standin
