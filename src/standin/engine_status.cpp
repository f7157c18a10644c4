#include "standin/engine_status.hpp"

#include "model/prefix_blocks.hpp"

namespace cyclamen::standin {

void engine_status::on_running_count(std::size_t running, core::instant now)
{
    if (!running_.empty() && running_.back().second == running) {
        return;
    }
    running_.emplace_back(now, running);
    // load() reports the youngest entry that is at least as old as the lag; older ones can go.
    while (running_.size() > 1 && running_[1].first + settings_.lag <= now) {
        running_.pop_front();
    }
}

void engine_status::record_prompt(std::string_view prompt, core::instant now)
{
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
    for (const std::uint64_t block : model::prefix_blocks(prompt)) {
        touch_block(block, stored);
    }
    evict_blocks(dropped);
    if (stored.empty() && dropped.empty()) {
        return;
    }
    ++last_event_;
    if (settings_.omitted_event_interval > 0 &&
        last_event_ % settings_.omitted_event_interval == 0) {
        return;
    }
    cache_events_.push_back(cache_event{last_event_, std::move(stored), std::move(dropped), now});
    if (cache_events_.size() > max_cache_events) {
        cache_events_.pop_front();
    }
}

void engine_status::clear()
{
    least_recent_first_.clear();
    cached_blocks_.clear();
    cache_events_.clear();
    running_.clear();
    last_event_ = 0;
}

api::target_load_report engine_status::load(bool leaving, core::instant now) const
{
    std::size_t running = 0;
    for (const auto& [since, count] : running_) {
        if (since + settings_.lag <= now) {
            running = count;
        }
    }
    const auto in_batch =
        static_cast<std::uint32_t>(std::min<std::size_t>(running, settings_.capacity));
    return api::target_load_report{{},
                                   in_batch,
                                   static_cast<std::uint32_t>(running) - in_batch,
                                   settings_.capacity,
                                   settings_.lag,
                                   leaving};
}

std::vector<api::target_cache_change> engine_status::cache_events(std::uint64_t after,
                                                                  core::instant now) const
{
    std::vector<api::target_cache_change> events;
    for (const cache_event& event : cache_events_) {
        // Numbers start again after a restart. A reader with a larger number gets all events.
        const bool is_new = event.number > after || after > last_event_;
        if (is_new && event.recorded_at + settings_.lag <= now) {
            events.push_back(api::target_cache_change{
                {}, event.number, event.stored, event.dropped, now - event.recorded_at});
        }
    }
    return events;
}

void engine_status::touch_block(std::uint64_t block, std::vector<std::uint64_t>& stored)
{
    const auto found = cached_blocks_.find(block);
    if (found != cached_blocks_.end()) {
        least_recent_first_.splice(least_recent_first_.end(), least_recent_first_, found->second);
        return;
    }
    least_recent_first_.push_back(block);
    cached_blocks_.emplace(block, std::prev(least_recent_first_.end()));
    stored.push_back(block);
}

void engine_status::evict_blocks(std::vector<std::uint64_t>& dropped)
{
    while (cached_blocks_.size() > settings_.cache_blocks) {
        dropped.push_back(least_recent_first_.front());
        cached_blocks_.erase(least_recent_first_.front());
        least_recent_first_.pop_front();
    }
}

} // namespace cyclamen::standin
