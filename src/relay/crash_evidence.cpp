#include "relay/crash_evidence.hpp"

#include <algorithm>

namespace cyclamen::relay {

std::vector<crash_record> crash_evidence::add_own(const crash_record& crash, core::instant now)
{
    add(crash, now);
    records_.at(crash.name).own = true;
    std::vector<crash_record> reported;
    for (const std::string& trait : crash.traits) {
        const auto crashes = crashes_with(crash.service, trait);
        if (crashes.size() < settings_.report_threshold) {
            continue;
        }
        for (const known_crash* each : crashes) {
            known_crash& known = records_.at(each->record.name);
            if (!known.reported) {
                known.reported = true;
                reported.push_back(known.record);
            }
        }
    }
    return reported;
}

void crash_evidence::add(const crash_record& crash, core::instant now)
{
    if (const auto known = records_.find(crash.name); known != records_.end()) {
        known->second.reported = true;
        return;
    }
    if (records_.size() >= settings_.max_records) {
        drop_oldest_record();
    }
    records_.emplace(crash.name, known_crash{crash, now, false, false});
}

void crash_evidence::remove(const std::string& name)
{
    records_.erase(name);
}

std::vector<crash_record> crash_evidence::reported() const
{
    std::vector<crash_record> found;
    for (const auto& [name, known] : records_) {
        if (known.reported || !known.own) {
            found.push_back(known.record);
        }
    }
    return found;
}

void crash_evidence::drop_oldest_record()
{
    const auto oldest =
        std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
            return left.second.heard_at < right.second.heard_at;
        });
    records_.erase(oldest);
}

void crash_evidence::add_answered(const core::service_name& service, const request_traits& traits)
{
    for (const std::string& trait : traits) {
        const trait_key key{service, trait};
        if (const auto known = answered_.find(key); known != answered_.end()) {
            ++known->second;
            continue;
        }
        if (counted_traits_.size() < settings_.max_counted_traits) {
            counted_traits_.push_back(key);
        }
        else {
            answered_.erase(std::exchange(counted_traits_[oldest_trait_], key));
            oldest_trait_ = (oldest_trait_ + 1) % counted_traits_.size();
        }
        answered_.emplace(key, 1);
    }
}

std::vector<const crash_evidence::known_crash*>
crash_evidence::crashes_with(const core::service_name& service, const std::string& trait) const
{
    std::vector<const known_crash*> found;
    for (const auto& [name, known] : records_) {
        if (known.record.service == service && known.record.traits.contains(trait)) {
            found.push_back(&known);
        }
    }
    return found;
}

bool crash_evidence::is_cleared(const core::service_name& service, const std::string& trait,
                                std::size_t crashes) const
{
    const auto answered = answered_.find({service, trait});
    return answered != answered_.end() && answered->second >= crashes;
}

request_traits crash_evidence::common_traits(const std::vector<const known_crash*>& crashes) const
{
    request_traits common;
    for (const std::string& trait : crashes.front()->record.traits) {
        const bool in_all =
            std::all_of(crashes.begin(), crashes.end(), [&](const known_crash* each) {
                return each->record.traits.contains(trait);
            });
        if (in_all && !is_cleared(crashes.front()->record.service, trait, crashes.size())) {
            common.insert(trait);
        }
    }
    return common;
}

std::optional<core::duration> crash_evidence::quarantine_of(const core::service_name& service,
                                                            const request_traits& traits,
                                                            core::instant now) const
{
    if (records_.size() < settings_.quarantine_threshold) {
        return std::nullopt;
    }
    for (const std::string& trait : traits) {
        const auto crashes = crashes_with(service, trait);
        if (crashes.size() < settings_.quarantine_threshold ||
            is_cleared(service, trait, crashes.size())) {
            continue;
        }
        const request_traits common = common_traits(crashes);
        if (std::includes(traits.begin(), traits.end(), common.begin(), common.end())) {
            core::instant last = crashes.front()->heard_at;
            for (const known_crash* each : crashes) {
                last = std::max(last, each->heard_at);
            }
            return std::max(last + settings_.window - now, core::duration::zero());
        }
    }
    return std::nullopt;
}

std::vector<std::string> crash_evidence::take_expired(core::instant now)
{
    std::vector<std::string> expired;
    for (auto each = records_.begin(); each != records_.end();) {
        if (now - each->second.heard_at >= settings_.window) {
            expired.push_back(each->first);
            each = records_.erase(each);
        }
        else {
            ++each;
        }
    }
    return expired;
}

} // namespace cyclamen::relay
