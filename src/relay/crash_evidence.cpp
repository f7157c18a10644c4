#include "relay/crash_evidence.hpp"

#include <algorithm>
#include <iterator>

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::relay {

namespace {

const std::string& crash_of(const crash_record& record)
{
    return record.incarnation.empty() ? record.name : record.incarnation;
}

void log_changes(const core::service_name& service, const std::vector<deadly_set>& former,
                 const std::vector<deadly_set>& current)
{
    const auto holds = [](const std::vector<deadly_set>& sets, const request_traits& traits) {
        return std::any_of(sets.begin(), sets.end(),
                           [&](const deadly_set& each) { return each.traits == traits; });
    };
    for (const deadly_set& each : current) {
        if (!holds(former, each.traits)) {
            core::log_event(core::log_level::warning, "traits_quarantined",
                            {{"service", service.str()}, {"traits", core::join(each.traits, ",")}});
        }
    }
    for (const deadly_set& each : former) {
        if (!holds(current, each.traits)) {
            core::log_event(core::log_level::info, "traits_cleared",
                            {{"service", service.str()}, {"traits", core::join(each.traits, ",")}});
        }
    }
}

} // namespace

std::string incarnation_name(const core::target_name& target, core::wall_time started_at)
{
    return core::concat(target.str(), "@", started_at.time_since_epoch().count());
}

void crash_evidence::add_own(const crash_record& crash, core::instant now)
{
    add(crash, now);
    records_.at(crash.name).own = true;
    records_.at(crash.name).reported = false;
}

void crash_evidence::add(const crash_record& crash, core::instant now)
{
    outdated_ = true;
    if (const auto known = records_.find(crash.name); known != records_.end()) {
        known->second.reported = true;
        known->second.answered = crash.answered;
        return;
    }
    if (records_.size() >= settings_.max_records) {
        drop_record();
    }
    records_.emplace(crash.name, known_crash{crash, now, false, true, crash.answered, {}});
}

void crash_evidence::remove(const std::string& name)
{
    outdated_ = records_.erase(name) > 0 || outdated_;
}

std::vector<crash_record> crash_evidence::reported() const
{
    std::vector<crash_record> found;
    for (const auto& [name, known] : records_) {
        if (known.reported) {
            found.push_back(written_record(known));
        }
    }
    return found;
}

crash_record crash_evidence::written_record(const known_crash& known) const
{
    return crash_record{known.record.name, known.record.service, known.record.traits,
                        known.record.incarnation, known.answered};
}

void crash_evidence::drop_record()
{
    const auto order = [this](const known_crash& known) {
        const crash_record& record = known.record;
        const bool shares_trait =
            std::any_of(record.traits.begin(), record.traits.end(), [&](const auto& trait) {
                return count_of(crashes_, record.service, trait) > 1;
            });
        return std::pair{shares_trait, known.heard_at};
    };
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [&](const auto& left, const auto& right) {
                                        return order(left.second) < order(right.second);
                                    }));
}

answered_traits& crash_evidence::counter_of(const std::string& trait)
{
    return trait.starts_with(fingerprint_prefix) ? answered_fingerprints_ : answered_parts_;
}

void crash_evidence::add_answered(const core::service_name& service, const request_traits& traits)
{
    for (const std::string& trait : traits) {
        const std::size_t answers = counter_of(trait).add(service, trait);
        const bool clears =
            answers == std::max(settings_.clearing_answers, count_of(own_crashes_, service, trait));
        outdated_ = outdated_ || (clears && count_of(crashes_, service, trait) > 0);
    }
    if (!trials_.empty()) {
        // A trial that was answered is followed by the next one at once.
        for (const deadly_set& each : sets_of(service, traits)) {
            if (const auto found = trials_.find({service, each.traits}); found != trials_.end()) {
                found->second.next = core::instant{};
            }
        }
    }
}

std::size_t crash_evidence::count_of(const std::map<core::service_name, trait_crashes>& crashes,
                                     const core::service_name& service, const std::string& trait)
{
    const auto found = crashes.find(service);
    if (found == crashes.end()) {
        return 0;
    }
    const auto seen = found->second.find(trait);
    return seen == found->second.end() ? 0 : seen->second.size();
}

bool crash_evidence::is_cleared(const core::service_name& service, const std::string& trait)
{
    return counter_of(trait).count(service, trait) >=
           std::max(settings_.clearing_answers, count_of(own_crashes_, service, trait));
}

void crash_evidence::index_records()
{
    crashes_.clear();
    own_crashes_.clear();
    marked_.clear();
    for (const auto& [name, known] : records_) {
        const core::service_name& service = known.record.service;
        for (const std::string& trait : known.record.traits) {
            crashes_[service][trait].insert(crash_of(known.record));
            if (known.own) {
                own_crashes_[service][trait].insert(crash_of(known.record));
            }
        }
    }
    for (auto& entry : records_) {
        known_crash& known = entry.second;
        const core::service_name& service = known.record.service;
        const std::size_t withdrawn =
            std::erase_if(known.marked_here, [&](const std::string& trait) {
                return !is_cleared(service, trait) && known.answered.erase(trait) > 0;
            });
        known.reported = known.reported && withdrawn == 0;
        marked_[service].insert(known.answered.begin(), known.answered.end());
    }
}

request_traits crash_evidence::accused_traits(const crash_record& record)
{
    request_traits accused = record.traits;
    std::erase_if(accused, [&](const std::string& trait) {
        return marked_.at(record.service).contains(trait) || is_cleared(record.service, trait);
    });
    return accused;
}

void crash_evidence::update()
{
    if (!outdated_) {
        return;
    }
    outdated_ = false;
    index_records();
    std::map<core::service_name, std::vector<crash_suspect>> suspects;
    for (const auto& [name, known] : records_) {
        request_traits accused = accused_traits(known.record);
        if (!accused.empty()) {
            suspects[known.record.service].push_back(
                crash_suspect{crash_of(known.record), std::move(accused), known.heard_at});
        }
    }
    std::map<core::service_name, std::vector<deadly_set>> former;
    former.swap(deadly_);
    for (const auto& [service, found] : suspects) {
        deadly_.emplace(service, find_deadly_sets(found, settings_.quarantine_threshold));
    }
    for (const auto& [service, sets] : former) {
        deadly_[service];
    }
    for (const auto& [service, sets] : deadly_) {
        log_changes(service, former[service], sets);
    }
}

std::vector<crash_record> crash_evidence::take_reports()
{
    std::vector<crash_record> reports;
    update();
    for (auto& [name, known] : records_) {
        const crash_record& record = known.record;
        const bool is_due = known.own && !known.reported && !accused_traits(record).empty();
        if (!is_due) {
            continue;
        }
        known.reported = true;
        known.answered = record.traits;
        std::erase_if(known.answered,
                      [&](const std::string& trait) { return !is_cleared(record.service, trait); });
        known.marked_here = known.answered;
        outdated_ = true;
        reports.push_back(written_record(known));
    }
    return reports;
}

std::vector<crash_record> crash_evidence::take_amendments()
{
    update();
    std::set<std::string> amended;
    for (const auto& [service, traits] : crashes_) {
        for (const auto& [trait, crashes] : traits) {
            if (crashes.size() < settings_.quarantine_threshold ||
                marked_.at(service).contains(trait) || !is_cleared(service, trait)) {
                continue;
            }
            // One mark is enough for all records.
            for (auto& [name, known] : records_) {
                if (known.reported && known.record.service == service &&
                    known.record.traits.contains(trait)) {
                    known.answered.insert(trait);
                    amended.insert(name);
                    outdated_ = true;
                    break;
                }
            }
        }
    }
    std::vector<crash_record> records;
    for (const std::string& name : amended) {
        records.push_back(written_record(records_.at(name)));
    }
    return records;
}

std::vector<deadly_set> crash_evidence::sets_of(const core::service_name& service,
                                                const request_traits& traits)
{
    update();
    std::vector<deadly_set> sets;
    if (const auto found = deadly_.find(service); found != deadly_.end()) {
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(sets),
                     [&](const deadly_set& each) {
                         return std::includes(traits.begin(), traits.end(), each.traits.begin(),
                                              each.traits.end());
                     });
    }
    return sets;
}

std::optional<core::duration> crash_evidence::quarantine_of(const core::service_name& service,
                                                            const request_traits& traits,
                                                            core::instant now)
{
    std::optional<core::duration> longest;
    for (const deadly_set& each : sets_of(service, traits)) {
        core::duration pause = settings_.trial_pause;
        core::instant trial = each.last_crash + pause;
        while (trial <= now) {
            pause *= settings_.trial_backoff;
            trial += pause;
        }
        const core::instant end = std::min(trial, each.last_crash + settings_.window);
        const core::duration left = std::max(end - now, core::duration::zero());
        longest = std::max(longest.value_or(left), left);
    }
    return longest;
}

bool crash_evidence::admit_trial(const core::service_name& service, const request_traits& traits,
                                 core::instant now)
{
    std::vector<trial_schedule*> schedules;
    for (const deadly_set& each : sets_of(service, traits)) {
        const auto [found, is_new] = trials_.try_emplace(
            std::pair{service, each.traits},
            trial_schedule{each.last_crash + settings_.trial_pause, settings_.trial_pause});
        if (now < found->second.next) {
            return false;
        }
        schedules.push_back(&found->second);
    }
    for (trial_schedule* each : schedules) {
        each->pause *= settings_.trial_backoff;
        each->next = now + each->pause;
    }
    return true;
}

std::vector<std::string> crash_evidence::take_expired(core::instant now)
{
    std::vector<std::string> expired;
    for (auto each = records_.begin(); each != records_.end();) {
        if (now - each->second.heard_at >= settings_.window) {
            expired.push_back(each->first);
            each = records_.erase(each);
            outdated_ = true;
        }
        else {
            ++each;
        }
    }
    if (records_.empty()) {
        trials_.clear();
    }
    return expired;
}

} // namespace cyclamen::relay
