#include "standin/engine_status.hpp"

#include "model/prefix_blocks.hpp"

namespace cyclamen::standin {

void engine_status::on_running(std::size_t running, core::instant now)
{
    if (!running_.empty() && running_.back().second == running) {
        return;
    }
    running_.emplace_back(now, running);
    // The youngest entry that is as old as the lag is what is reported.
    while (running_.size() > 1 && running_[1].first + settings_.lag <= now) {
        running_.pop_front();
    }
}

void engine_status::on_prompt(std::string_view prompt, core::instant now)
{
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
    for (const std::uint64_t block : model::prefix_blocks(prompt)) {
        use(block, stored);
    }
    make_room(dropped);
    if (stored.empty() && dropped.empty()) {
        return;
    }
    ++last_change_;
    if (settings_.gap_every > 0 && last_change_ % settings_.gap_every == 0) {
        return;
    }
    changes_.push_back(change{last_change_, std::move(stored), std::move(dropped), now});
    if (changes_.size() > most_changes) {
        changes_.pop_front();
    }
}

void engine_status::clear()
{
    by_use_.clear();
    cached_.clear();
    changes_.clear();
    running_.clear();
    last_change_ = 0;
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

std::vector<api::target_cache_change> engine_status::changes(std::uint64_t after,
                                                             core::instant now) const
{
    std::vector<api::target_cache_change> told;
    for (const change& each : changes_) {
        // After a new start the numbers begin again: then all is told.
        const bool is_news = each.number > after || after > last_change_;
        if (is_news && each.at + settings_.lag <= now) {
            told.push_back(api::target_cache_change{
                {}, each.number, each.stored, each.dropped, now - each.at});
        }
    }
    return told;
}

void engine_status::use(std::uint64_t block, std::vector<std::uint64_t>& stored)
{
    const auto found = cached_.find(block);
    if (found != cached_.end()) {
        by_use_.splice(by_use_.end(), by_use_, found->second);
        return;
    }
    by_use_.push_back(block);
    cached_.emplace(block, std::prev(by_use_.end()));
    stored.push_back(block);
}

void engine_status::make_room(std::vector<std::uint64_t>& dropped)
{
    while (cached_.size() > settings_.cache_blocks) {
        dropped.push_back(by_use_.front());
        cached_.erase(by_use_.front());
        by_use_.pop_front();
    }
}

} // namespace cyclamen::standin
