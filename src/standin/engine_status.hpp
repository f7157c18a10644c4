#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>

#include "api/target_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::standin {

/// Settings of the load and cache reports of a stand-in engine.
struct status_settings {
    /// Age of the reported load, and of the youngest reported cache event.
    const core::duration lag = std::chrono::milliseconds{500};
    /// Number of requests that the batch holds; further ones are reported as waiting.
    const std::uint32_t capacity = 64;
    /// Number of prefix blocks that the cache holds.
    const std::size_t cache_blocks = 4096;
    /// Every n-th cache event is never published, so that readers meet gaps; 0 publishes all.
    const std::uint64_t omitted_event_interval = 20;

    auto operator<=>(const status_settings&) const = default;
};

/// Status reports of a stand-in engine: its load, with a lag, and the events of its prefix cache,
/// with gaps. Opens no socket and reads no clock.
class engine_status {
  public:
    explicit engine_status(status_settings settings) : settings_{settings} {}

    /// Records the number of requests that run from now on.
    void on_running_count(std::size_t running, core::instant now);

    /// Adds the prefix blocks of a prompt to the cache and evicts the least recently used ones.
    void record_prompt(std::string_view prompt, core::instant now);

    /// Empties the cache and forgets all reports, as after a restart of the engine.
    void clear();

    /// @param leaving true if the engine accepts no new work
    /// @param now current instant
    /// @return the load as it was one lag ago
    [[nodiscard]] api::target_load_report load(bool leaving, core::instant now) const;

    /// @param after number of the last event that the reader knows
    /// @param now current instant
    /// @return the later events that are at least as old as the lag
    [[nodiscard]] std::vector<api::target_cache_change> cache_events(std::uint64_t after,
                                                                     core::instant now) const;

  private:
    struct cache_event {
        std::uint64_t number;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> dropped;
        core::instant recorded_at;
    };

    /// Number of events that are kept; older ones are no longer published.
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
