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
                                   std::unique_ptr<target_chooser> chooser)
    : settings_{settings}, health_chart_{std::move(health)}, chooser_{std::move(chooser)}
{
}

target_directory::~target_directory() = default;

template <class Condition>
std::vector<core::target_name> target_directory::names_where(Condition condition) const
{
    std::vector<core::target_name> names;
    for (const auto& [name, each] : targets_) {
        if (condition(each.record.get())) {
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
        for (const core::target_name& each : names_where(
                 [&](const target_record& known) { return !present.contains(known.name); })) {
            forget(each, "missing from the whole list");
        }
    }
    for (const core::target_name& each : listed.gone) {
        forget(each, "no longer listed");
    }
    for (const target_record& each : listed.present) {
        add(each, now);
    }
    share_places();
}

void target_directory::add(const target_record& record, core::instant now)
{
    known_target* known = find(record.name);
    if (known != nullptr &&
        std::pair{record.born, record.statement} <
            std::pair{known->record.get().born, known->record.get().statement}) {
        // Written late: the target has said something newer meanwhile.
        return;
    }
    for (const core::target_name& each : names_where([&](const target_record& other) {
             return other.name != record.name && other.address == record.address &&
                    other.born < record.born;
         })) {
        forget(each, core::concat("address taken by ", record.name.str()));
    }
    known = find(record.name);
    const bool new_life = known == nullptr || record.born != known->record.get().born;
    const bool was_leaving = !new_life && known->record.get().leaving;
    if (!new_life) {
        known->record.set(record);
    }
    else {
        // A new life under an old name knows nothing of the work before.
        if (targets_.erase(record.name) > 0) {
            ending_.push_back(record.name);
        }
        known = &targets_
                     .emplace(record.name,
                              known_target{core::cell{record},
                                           std::make_unique<routing::target_health>(
                                               settings_.placement.health, health_chart_,
                                               static_cast<routing::ejection_budget&>(*this)),
                                           own_work{}})
                     .first->second;
    }
    if (record.leaving) {
        known->health->on_leaving(now);
        if (!was_leaving) {
            ending_.push_back(record.name);
        }
    }
    if (new_life || record.leaving != was_leaving) {
        core::log_event(core::log_level::info, "target_listed",
                        {{"target", record.name.str()},
                         {"service", record.service.str()},
                         {"address", core::to_string(record.address)},
                         {"domain", record.domain.str()},
                         {"born_ms", record.born.time_since_epoch().count()},
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
        own_place_ = static_cast<double>(own - order.begin()) / static_cast<double>(order.size());
    }
}

void target_directory::share_places()
{
    std::map<core::service_name,
             std::vector<std::pair<core::failure_domain_name, core::target_name>>>
        order;
    for (const auto& [name, each] : targets_) {
        order[each.record.get().service].emplace_back(each.record.get().domain, name);
    }
    for (auto& [service, names] : order) {
        std::sort(names.begin(), names.end());
        for (std::size_t i = 0; i < names.size(); ++i) {
            targets_.at(names[i].second).place =
                static_cast<double>(i) / static_cast<double>(names.size());
        }
    }
}

double target_directory::distance_to(const known_target& target) const
{
    const double gap = std::abs(target.place - own_place_);
    return std::min(gap, 1.0 - gap);
}

std::optional<placement> target_directory::choose(const placement_query& query, core::instant now)
{
    const known_target* chosen = nullptr;
    bool from_copy = false;
    if (query.copy_at.has_value()) {
        known_target* holder = find(*query.copy_at);
        // A copy is worth a try where its holder is in doubt: reading anew takes longer.
        const bool usable = holder != nullptr &&
                            holder->health->current_readiness(now) <= routing::readiness::suspect;
        if (usable) {
            chosen = holder;
            from_copy = true;
        }
    }
    if (chosen == nullptr) {
        chosen = pick(query, nullptr, now);
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
    // A copy at a target that was tried, or in the domain that was lost last, is of no use.
    std::set<core::target_name> unfit = query.tried;
    unfit.insert(target.name);
    const placement_query second{query.service,
                                 query.prompt_tokens,
                                 query.prompt_key,
                                 std::move(unfit),
                                 query.lost_domain,
                                 {},
                                 false,
                                 query.loads};
    const known_target* found = pick(second, &target.domain, now);
    if (found == nullptr || found->record.get().name == target.name) {
        return std::nullopt;
    }
    return found->record.get();
}

std::vector<core::target_name> target_directory::take_ending()
{
    return std::exchange(ending_, {});
}

const target_directory::known_target*
target_directory::pick(const placement_query& query, const core::failure_domain_name* other_than,
                       core::instant now)
{
    const std::vector<const known_target*> best = best_class(query, other_than, now);
    return best.empty() ? nullptr : best[chooser_->choose(compare(best, query), settings_.domain)];
}

std::vector<const target_directory::known_target*>
target_directory::best_class(const placement_query& query,
                             const core::failure_domain_name* other_than, core::instant now)
{
    // Targets that are ready, untried and in a sound domain go before those that are not.
    std::map<std::tuple<bool, routing::readiness, bool, bool>, std::vector<const known_target*>>
        classes;
    for (const auto& [name, each] : targets_) {
        const target_record& record = each.record.get();
        const auto ready = each.health->current_readiness(now);
        const bool excluded = other_than != nullptr && record.domain == *other_than;
        if (record.service == query.service && ready != routing::readiness::leaving && !excluded) {
            const bool unasked = !query.loads.empty() && !query.loads.contains(name);
            const bool doubtful_domain =
                query.lost_domain == record.domain || is_domain_doubtful(record, now);
            classes[{unasked, ready, query.tried.contains(name), doubtful_domain}].push_back(&each);
        }
    }
    return classes.empty() ? std::vector<const known_target*>{} : classes.begin()->second;
}

std::vector<target_record> target_directory::survey(const placement_query& query, core::instant now)
{
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
                                   {}};
        // The last one is of another domain, so that one of them can be the standby.
        const bool needs_other =
            domains.size() == 1 && chosen.size() + 1 == settings_.placement.survey_size;
        const known_target* found = pick(next, needs_other ? &*domains.begin() : nullptr, now);
        if (found == nullptr || tried.contains(found->record.get().name)) {
            break;
        }
        chosen.push_back(found->record.get());
        tried.insert(found->record.get().name);
        domains.insert(found->record.get().domain);
    }
    if (chosen.empty()) {
        // All have been tried: they are asked again.
        if (const known_target* found = pick(query, nullptr, now); found != nullptr) {
            chosen.push_back(found->record.get());
        }
    }
    return chosen;
}

std::vector<candidate> target_directory::compare(const std::vector<const known_target*>& targets,
                                                 const placement_query& query) const
{
    std::vector<candidate> candidates;
    for (const known_target* each : targets) {
        const auto load = query.loads.find(each->record.get().name);
        candidates.push_back(candidate{&each->record.get(), &each->work, distance_to(*each),
                                       load == query.loads.end() ? nullptr : &load->second});
    }
    if (query.prompt_key.empty()) {
        return candidates;
    }
    // Every instance finds the same order, so that a caller who comes back to another instance
    // reaches the engine that has read the prompt.
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
    change_copies(placed.standby, 1);
}

void target_directory::on_standby_changed(const std::optional<target_record>& from,
                                          const target_record& to)
{
    change_copies(from, -1);
    change_copies(to, 1);
}

void target_directory::change_copies(const std::optional<target_record>& standby, int change)
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
    change_copies(placed.standby, -1);
}

void target_directory::on_loss(const core::target_name& target, core::instant now)
{
    if (known_target* known = find(target); known != nullptr) {
        known->health->on_loss(now);
        const target_record& record = known->record.get();
        losses_[{record.service, record.domain}].insert_or_assign(target, now);
    }
}

bool target_directory::is_domain_doubtful(const target_record& record, core::instant now) const
{
    const auto found = losses_.find({record.service, record.domain});
    if (found == losses_.end()) {
        return false;
    }
    const auto recent =
        std::count_if(found->second.begin(), found->second.end(), [&](const auto& each) {
            return now - each.second < settings_.placement.domain_doubt;
        });
    return recent >= settings_.placement.losses_to_doubt_domain;
}

void target_directory::on_success(const core::target_name& target, core::instant now)
{
    if (known_target* known = find(target); known != nullptr) {
        known->health->on_success(now);
    }
}

void target_directory::on_misdirected(const core::target_name& target)
{
    forget(target, "another target answers at its address");
    share_places();
}

void target_directory::forget(const core::target_name& target, std::string_view reason)
{
    if (targets_.erase(target) > 0) {
        ending_.push_back(target);
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
