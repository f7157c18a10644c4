#include <algorithm>

#include "core/log.hpp"
#include "relay/target_directory.hpp"

/// @file
/// Targets that leave or want no requests for a while.

namespace cyclamen::relay {

void target_directory::on_notice(const target_notice& notice, core::instant now)
{
    known_target* known = find(notice.target);
    if (known == nullptr) {
        return;
    }
    const target_record& record = known->record.get();
    if (notice.leaving && known->health->current_readiness(now) != routing::readiness::leaving) {
        known->health->on_leaving(now);
        note_left(record);
        ending_targets_.push_back(record.name);
        core::log_event(core::log_level::info, "target_leaving",
                        {{"target", record.name.str()},
                         {"service", record.service.str()},
                         {"request", notice.request},
                         {"source", "answer"}});
    }
    if (notice.hold > core::duration::zero() && now + notice.hold > known->held_until) {
        known->held_until = now + notice.hold;
        core::log_event(core::log_level::info, "target_held",
                        {{"target", record.name.str()},
                         {"service", record.service.str()},
                         {"request", notice.request},
                         {"for_ms", core::to_milliseconds(notice.hold)}});
    }
}

bool target_directory::is_serving(const target_record& target, core::instant now)
{
    const known_target* known = find(target.name);
    return known != nullptr && known->record.get().started_at == target.started_at &&
           known->health->current_readiness(now) != routing::readiness::leaving;
}

std::vector<target_record>
target_directory::serving_targets(const core::service_name& service) const
{
    std::vector<target_record> serving;
    for (const auto& [name, known] : targets_) {
        const target_record& record = known.record.get();
        if (record.service == service && !record.leaving) {
            serving.push_back(record);
        }
    }
    return serving;
}

void target_directory::note_left(const target_record& record)
{
    constexpr std::size_t max_left = 1024;
    if (!left_.contains(record.name)) {
        left_order_.push_back(record.name);
    }
    left_.insert_or_assign(record.name, record.started_at);
    if (left_order_.size() > max_left) {
        left_.erase(left_order_.front());
        left_order_.pop_front();
    }
}

std::optional<core::instant> target_directory::earliest_return(const core::service_name& service,
                                                               core::instant now)
{
    std::optional<core::instant> earliest;
    for (const auto& [name, known] : targets_) {
        if (known.record.get().service != service ||
            known.health->current_readiness(now) == routing::readiness::leaving) {
            continue;
        }
        if (!is_held(known, now)) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(known.held_until), known.held_until);
    }
    return earliest;
}

} // namespace cyclamen::relay
