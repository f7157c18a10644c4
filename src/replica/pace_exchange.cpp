#include "replica/pace_exchange.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamen::replica {

namespace {

/// Ratio between a target's factor and the one that was handed on from which it is handed on again.
constexpr double changed_ratio = 1.2;

/// Weight below which nothing is known of a target any more.
constexpr double negligible_weight = 0.02;
constexpr core::duration purge_period = std::chrono::seconds{5};

} // namespace

pace_exchange::known_pace* pace_exchange::current(std::map<core::target_name, known_pace>& paces,
                                                  const routing::pace_report& report)
{
    known_pace& known =
        paces.try_emplace(report.target, known_pace{report.started_at, {}}).first->second;
    if (known.started_at < report.started_at) {
        const std::uint64_t position = known.position;
        known = known_pace{report.started_at, {}};
        known.position = position;
    }
    return known.started_at == report.started_at ? &known : nullptr;
}

routing::target_pace pace_exchange::pace_in(const routing::pace_report& report,
                                            core::instant now) const
{
    const double aged =
        std::exp2(core::to_seconds(report.age) / core::to_seconds(settings_.half_life));
    return routing::target_pace{report.factor, std::min(report.weight * aged, settings_.max_weight),
                                now - report.age};
}

routing::pace_report pace_exchange::report_of(const core::target_name& target,
                                              const known_pace& known, core::instant now) const
{
    return routing::pace_report{target, known.started_at, known.pace.mean_factor(),
                                known.pace.weight(now, settings_), now - known.pace.at()};
}

void pace_exchange::note_change(const core::target_name& target, known_pace& known,
                                core::instant now)
{
    const double factor = known.pace.factor(now, settings_);
    const bool was_even = known.handed_on_factor == 1.0;
    const double change = std::abs(std::log(factor / known.handed_on_factor));
    const bool outdated = !was_even && now - known.handed_on_at >= settings_.half_life / 2;
    if (factor == known.handed_on_factor ? !outdated
                                         : change < std::log(changed_ratio) && !outdated) {
        return;
    }
    order_.erase(known.position);
    known.position = ++last_position_;
    order_.emplace(known.position, target);
    known.handed_on_factor = factor;
    known.handed_on_at = now;
}

void pace_exchange::observe(const std::vector<routing::pace_report>& seen, core::instant at,
                            bool is_reader)
{
    merge(seen, at);
    if (is_reader) {
        unsent_.clear();
        return;
    }
    for (const routing::pace_report& each : seen) {
        if (known_pace* waiting = current(unsent_, each); waiting != nullptr) {
            waiting->pace =
                waiting->pace.observed(each.factor, each.weight, at - each.age, settings_);
        }
    }
}

void pace_exchange::merge(const std::vector<routing::pace_report>& seen, core::instant now)
{
    purge(now);
    for (const routing::pace_report& each : seen) {
        if (known_pace* known = current(known_, each); known != nullptr) {
            known->pace =
                known->pace.observed(each.factor, std::min(each.weight, settings_.max_weight),
                                     now - each.age, settings_);
            note_change(each.target, *known, now);
        }
    }
}

std::vector<routing::pace_report> pace_exchange::take_unsent(core::instant now)
{
    std::vector<routing::pace_report> taken;
    while (!unsent_.empty() && taken.size() < max_unsent) {
        const auto first = unsent_.begin();
        taken.push_back(report_of(first->first, first->second, now));
        unsent_.erase(first);
    }
    return taken;
}

std::uint64_t pace_exchange::position_at(const feed_peer& reader)
{
    const std::string address = core::to_string(reader.feed);
    if (asked_ != address) {
        asked_ = address;
        asked_position_ = 0;
    }
    return asked_position_;
}

void pace_exchange::apply(const std::vector<routing::pace_report>& merged, std::uint64_t position,
                          core::instant now)
{
    asked_position_ = position;
    purge(now);
    for (const routing::pace_report& each : merged) {
        if (known_pace* known = current(known_, each); known != nullptr) {
            known->pace = known->pace.merged(pace_in(each, now));
            note_change(each.target, *known, now);
        }
    }
}

pace_changes pace_exchange::changes_since(std::uint64_t position, core::instant now) const
{
    // A position from before the reader's restart.
    pace_changes changes{{}, position > last_position_ ? 0 : position};
    for (auto next = order_.upper_bound(changes.position);
         next != order_.end() && changes.paces.size() < max_changes; ++next) {
        changes.paces.push_back(report_of(next->second, known_.at(next->second), now));
        changes.position = next->first;
    }
    return changes;
}

std::vector<routing::pace_report> pace_exchange::take_changes(core::instant now)
{
    if (now - passed_at_ < pass_period) {
        return {};
    }
    pace_changes changes = changes_since(passed_position_, now);
    passed_position_ = changes.position;
    if (!changes.paces.empty()) {
        passed_at_ = now;
    }
    return std::move(changes.paces);
}

void pace_exchange::purge(core::instant now)
{
    if (now - purged_at_ < purge_period) {
        return;
    }
    purged_at_ = now;
    std::erase_if(known_, [&](const auto& each) {
        const bool forgotten = each.second.pace.weight(now, settings_) < negligible_weight;
        if (forgotten) {
            order_.erase(each.second.position);
        }
        return forgotten;
    });
    std::erase_if(unsent_, [&](const auto& each) {
        return each.second.pace.weight(now, settings_) < negligible_weight;
    });
}

} // namespace cyclamen::replica
