#include "relay/target_directory.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/hash.hpp"
#include "core/log.hpp"

namespace cyclamen::relay {

target_directory::target_directory(const relay_settings& settings,
                                   std::shared_ptr<const chart::chart> health,
                                   std::unique_ptr<target_chooser> chooser,
                                   const routing::pace_source& paces)
    : settings_{settings},
      health_chart_{std::move(health)}, chooser_{std::move(chooser)}, paces_{paces}
{
}

target_directory::~target_directory() = default;

template <class Condition>
std::vector<core::target_name> target_directory::names_where(Condition condition) const
{
    std::vector<core::target_name> names;
    for (const auto& [name, known] : targets_) {
        if (condition(known.record.get())) {
            names.push_back(name);
        }
    }
    return names;
}

void target_directory::on_targets(const targets_listed& listed, core::instant now)
{
    if (listed.complete) {
        std::set<core::target_name> present;
        for (const target_record& each : listed.present) {
            present.insert(each.name);
        }
        for (const core::target_name& name : names_where(
                 [&](const target_record& known) { return !present.contains(known.name); })) {
            remove(name, "missing from the complete list");
        }
    }
    for (const core::target_name& name : listed.gone) {
        remove(name, "removed from the list");
    }
    for (const target_record& each : listed.present) {
        add(each, now);
    }
    assign_ring_positions();
}

void target_directory::add(const target_record& record, core::instant now)
{
    known_target* known = find(record.name);
    if (known != nullptr &&
        std::pair{record.started_at, record.sequence} <
            std::pair{known->record.get().started_at, known->record.get().sequence}) {
        // Out of order: a newer record of the target is known.
        return;
    }
    for (const core::target_name& name : names_where([&](const target_record& other) {
             return other.name != record.name && other.address == record.address &&
                    other.started_at < record.started_at;
         })) {
        remove(name, core::concat("address reassigned to ", record.name.str()));
    }
    known = find(record.name);
    const bool new_incarnation =
        known == nullptr || record.started_at != known->record.get().started_at;
    const bool was_leaving = !new_incarnation && known->record.get().leaving;
    if (!new_incarnation) {
        known->record.set(record);
    }
    else {
        // A new incarnation under the same name has none of the earlier work.
        if (targets_.erase(record.name) > 0) {
            ending_targets_.push_back(record.name);
        }
        known = &targets_
                     .emplace(record.name,
                              known_target{core::cell{record},
                                           std::make_unique<routing::target_health>(
                                               settings_.placement.health, health_chart_,
                                               static_cast<routing::ejection_budget&>(*this)),
                                           local_work{}})
                     .first->second;
    }
    const auto left = left_.find(record.name);
    const bool has_left = left != left_.end() && left->second == record.started_at;
    if (record.leaving || has_left) {
        known->health->on_leaving(now);
        if (!was_leaving) {
            ending_targets_.push_back(record.name);
        }
    }
    if (new_incarnation || record.leaving != was_leaving) {
        core::log_event(core::log_level::info, "target_listed",
                        {{"target", record.name.str()},
                         {"service", record.service.str()},
                         {"address", core::to_string(record.address)},
                         {"domain", record.domain.str()},
                         {"born_ms", record.started_at.time_since_epoch().count()},
                         {"leaving", record.leaving}});
    }
}

void target_directory::on_members(const std::vector<member>& members)
{
    std::vector<std::pair<core::failure_domain_name, core::instance_name>> order;
    for (const member& each : members) {
        order.emplace_back(each.domain, each.name);
    }
    std::sort(order.begin(), order.end());
    const auto own =
        std::find(order.begin(), order.end(), std::pair{settings_.domain, settings_.name});
    if (own != order.end()) {
        own_ring_position_ =
            static_cast<double>(own - order.begin()) / static_cast<double>(order.size());
    }
}

void target_directory::assign_ring_positions()
{
    std::map<core::service_name,
             std::vector<std::pair<core::failure_domain_name, core::target_name>>>
        order;
    for (const auto& [name, known] : targets_) {
        order[known.record.get().service].emplace_back(known.record.get().domain, name);
    }
    for (auto& [service, names] : order) {
        std::sort(names.begin(), names.end());
        for (std::size_t i = 0; i < names.size(); ++i) {
            targets_.at(names[i].second).ring_position =
                static_cast<double>(i) / static_cast<double>(names.size());
        }
    }
}

double target_directory::distance_to(const known_target& target) const
{
    const double gap = std::abs(target.ring_position - own_ring_position_);
    return std::min(gap, 1.0 - gap);
}

std::optional<placement> target_directory::choose(const placement_query& wanted, core::instant now)
{
    const placement_query query = available_query(wanted);
    const known_target* chosen = nullptr;
    bool from_copy = false;
    if (query.copy_holder.has_value()) {
        known_target* holder = find(*query.copy_holder);
        // Even if the holder's health is doubtful, resuming from the copy is worth a try:
        // processing the prompt again takes longer.
        const bool usable = holder != nullptr && !is_held(*holder, now) &&
                            (!query.rule.has_value() || query.rule->required ||
                             query.rule->admits(holder->record.get().version)) &&
                            holder->health->current_readiness(now) <= routing::readiness::suspect;
        if (usable) {
            chosen = holder;
            from_copy = true;
        }
    }
    if (chosen == nullptr) {
        chosen = pick_target(query, nullptr, now);
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const target_record& target = chosen->record.get();
    return placement{target, query.wants_standby ? find_standby(query, target, now) : std::nullopt,
                     from_copy};
}

std::optional<target_record> target_directory::find_standby(const placement_query& query,
                                                            const target_record& target,
                                                            core::instant now)
{
    // A copy is useless at a target that was tried, or in the failure domain lost last.
    std::set<core::target_name> unfit = query.tried;
    unfit.insert(target.name);
    const placement_query second{
        query.service,
        query.prompt_tokens,
        query.prompt_key,
        std::move(unfit),
        query.lost_domain,
        {},
        false,
        query.loads,
        query.rule.has_value() ? std::optional{version_rule{target.version, true}} : std::nullopt};
    const known_target* found = pick_target(second, &target.domain, now);
    if (found == nullptr || found->record.get().name == target.name) {
        return std::nullopt;
    }
    return found->record.get();
}

std::vector<core::target_name> target_directory::take_ending_targets()
{
    return std::exchange(ending_targets_, {});
}

const target_directory::known_target*
target_directory::pick_target(const placement_query& query,
                              const core::failure_domain_name* excluded_domain, core::instant now)
{
    const std::vector<const known_target*> best = best_group(query, excluded_domain, now);
    return best.empty()
               ? nullptr
               : best[chooser_->choose(make_candidates(best, query, now), settings_.domain)];
}

placement_query target_directory::available_query(const placement_query& query) const
{
    const bool available = !query.rule.has_value() || !query.rule->required ||
                           has_target(query.service, query.rule->version);
    return available ? query
                     : placement_query{query.service,       query.prompt_tokens, query.prompt_key,
                                       query.tried,         query.lost_domain,   query.copy_holder,
                                       query.wants_standby, query.loads};
}

std::vector<const target_directory::known_target*>
target_directory::best_group(const placement_query& query,
                             const core::failure_domain_name* excluded_domain, core::instant now)
{
    // Groups in order of preference: load known, health, not tried yet, domain not suspect.
    std::map<std::tuple<bool, routing::readiness, bool, bool>, std::vector<const known_target*>>
        groups;
    for (const auto& [name, known] : targets_) {
        const target_record& record = known.record.get();
        const auto ready = known.health->current_readiness(now);
        const bool excluded = excluded_domain != nullptr && record.domain == *excluded_domain;
        const bool admitted = !query.rule.has_value() || query.rule->admits(record.version);
        if (record.service == query.service && ready != routing::readiness::leaving && !excluded &&
            admitted && !is_held(known, now)) {
            const bool unasked = !query.loads.empty() && !query.loads.contains(name);
            const bool suspect_domain =
                query.lost_domain == record.domain || is_domain_suspect(record, now);
            groups[{unasked, ready, query.tried.contains(name), suspect_domain}].push_back(&known);
        }
    }
    return groups.empty() ? std::vector<const known_target*>{} : groups.begin()->second;
}

std::vector<target_record> target_directory::survey(const placement_query& wanted,
                                                    core::instant now)
{
    const placement_query query = available_query(wanted);
    std::vector<target_record> chosen;
    std::set<core::target_name> tried = query.tried;
    std::set<core::failure_domain_name> domains;
    while (chosen.size() < settings_.placement.survey_size) {
        const placement_query next{query.service,
                                   query.prompt_tokens,
                                   query.prompt_key,
                                   tried,
                                   query.lost_domain,
                                   {},
                                   false,
                                   {},
                                   query.rule};
        // The last candidate is in another failure domain, so that one can be the standby.
        const bool needs_other =
            domains.size() == 1 && chosen.size() + 1 == settings_.placement.survey_size;
        const known_target* found =
            pick_target(next, needs_other ? &*domains.begin() : nullptr, now);
        if (found == nullptr || tried.contains(found->record.get().name)) {
            break;
        }
        chosen.push_back(found->record.get());
        tried.insert(found->record.get().name);
        domains.insert(found->record.get().domain);
    }
    if (chosen.empty()) {
        // All targets have been tried: ask the best one again.
        if (const known_target* found = pick_target(query, nullptr, now); found != nullptr) {
            chosen.push_back(found->record.get());
        }
    }
    return chosen;
}

std::vector<candidate>
target_directory::make_candidates(const std::vector<const known_target*>& targets,
                                  const placement_query& query, core::instant now) const
{
    std::vector<candidate> candidates;
    for (const known_target* known : targets) {
        const target_record& record = known->record.get();
        const auto load = query.loads.find(record.name);
        candidates.push_back(candidate{&record, &known->work, distance_to(*known),
                                       load == query.loads.end() ? nullptr : &load->second,
                                       paces_.pace_of(record.name, record.started_at, now),
                                       paces_.takes_well(record.name, record.started_at, now),
                                       query.prompt_tokens});
    }
    if (query.prompt_key.empty()) {
        return candidates;
    }
    // All instances compute the same order, so that a request retried at another instance reaches
    // the engine that has already processed the prompt.
    const std::uint64_t key = core::hash_of(query.prompt_key);
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        order.emplace_back(core::rendezvous_weight(key, targets[i]->record.get().name.str()), i);
    }
    std::sort(order.rbegin(), order.rend());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        candidates[order[rank].second].distance =
            static_cast<double>(rank) / static_cast<double>(order.size());
    }
    return candidates;
}

void target_directory::on_opened(const placement& placed, std::uint64_t prompt_tokens)
{
    if (known_target* known = find(placed.target.name); known != nullptr) {
        ++known->work.open;
        known->work.unread_tokens += prompt_tokens;
    }
    adjust_copies(placed.standby, 1);
}

void target_directory::on_standby_changed(const std::optional<target_record>& from,
                                          const target_record& to)
{
    adjust_copies(from, -1);
    adjust_copies(to, 1);
}

void target_directory::adjust_copies(const std::optional<target_record>& standby, int change)
{
    known_target* known = standby.has_value() ? find(standby->name) : nullptr;
    if (known != nullptr && (change > 0 || known->work.copies > 0)) {
        known->work.copies += static_cast<std::uint32_t>(change);
    }
}

void target_directory::on_first_event(const core::target_name& target, std::uint64_t prompt_tokens)
{
    if (known_target* known = find(target); known != nullptr) {
        known->work.unread_tokens -= std::min(known->work.unread_tokens, prompt_tokens);
    }
}

void target_directory::on_closed(const placement& placed, std::uint64_t unread_tokens)
{
    if (known_target* known = find(placed.target.name); known != nullptr) {
        known->work.open -= std::min(known->work.open, 1U);
        known->work.unread_tokens -= std::min(known->work.unread_tokens, unread_tokens);
    }
    adjust_copies(placed.standby, -1);
}

double target_directory::pace_of(const core::target_name& target, core::instant now) const
{
    const auto found = targets_.find(target);
    return found == targets_.end()
               ? 1.0
               : paces_.pace_of(target, found->second.record.get().started_at, now);
}

local_work target_directory::work_on(const core::target_name& target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? local_work{} : found->second.work;
}

void target_directory::on_loss(const core::target_name& target, core::instant now)
{
    if (known_target* known = find(target); known != nullptr) {
        known->health->on_loss(now);
        const target_record& record = known->record.get();
        losses_[{record.service, record.domain}].insert_or_assign(target, now);
    }
}

bool target_directory::has_target(const core::service_name& service,
                                  const core::version_name& version) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
        const target_record& record = entry.second.record.get();
        return record.service == service && record.version == version && !record.leaving;
    });
}

bool target_directory::is_domain_suspect(const target_record& record, core::instant now) const
{
    const auto found = losses_.find({record.service, record.domain});
    if (found == losses_.end()) {
        return false;
    }
    const auto recent =
        std::count_if(found->second.begin(), found->second.end(), [&](const auto& loss) {
            return now - loss.second < settings_.placement.domain_suspicion;
        });
    return recent >= settings_.placement.losses_to_suspect_domain;
}

void target_directory::on_success(const core::target_name& target, core::instant now)
{
    if (known_target* known = find(target); known != nullptr) {
        known->health->on_success(now);
    }
}

void target_directory::on_misdirected(const core::target_name& target)
{
    remove(target, "another target or incarnation answers at its address");
    assign_ring_positions();
}

void target_directory::remove(const core::target_name& target, std::string_view reason)
{
    if (targets_.erase(target) > 0) {
        ending_targets_.push_back(target);
        core::log_event(core::log_level::info, "target_forgotten",
                        {{"target", target.str()}, {"reason", reason}});
    }
}

bool target_directory::can_eject_another() const
{
    return static_cast<double>(ejected_ + 1) <=
           settings_.placement.health.max_ejected_fraction * static_cast<double>(targets_.size());
}

void target_directory::on_ejection_changed(bool ejected)
{
    ejected ? ++ejected_ : --ejected_;
}

target_directory::known_target* target_directory::find(const core::target_name& name)
{
    const auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace cyclamen::relay
