#include "relay/deadly_traits.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace cyclamen::relay {

namespace {

using suspect_list = std::vector<const crash_suspect*>;
using trait_index = std::map<std::string, suspect_list>;

trait_index index_by_trait(const suspect_list& suspects)
{
    trait_index index;
    for (const crash_suspect* each : suspects) {
        for (const std::string& trait : each->traits) {
            index[trait].push_back(each);
        }
    }
    return index;
}

std::size_t count_crashes(const suspect_list& suspects)
{
    std::set<std::string> crashes;
    for (const crash_suspect* each : suspects) {
        crashes.insert(each->crash);
    }
    return crashes.size();
}

/// How much speaks for a trait as the cause of crashes, in the order of comparison.
struct trait_weight {
    /// Number of its crashes, up to the threshold.
    std::size_t counted_crashes;
    /// Crashes for each suspect that has the trait: one that many sound requests have as well is
    /// seen several times a crash.
    double crashes_per_suspect;
    std::size_t crashes;

    auto operator<=>(const trait_weight&) const = default;
};

/// Weights of a suspect's traits, the highest first.
using suspicion = std::vector<trait_weight>;

/// @return the suspects that remain of each crash
suspect_list most_suspected(const std::vector<crash_suspect>& suspects, std::size_t threshold)
{
    suspect_list all;
    for (const crash_suspect& each : suspects) {
        all.push_back(&each);
    }
    std::map<std::string, trait_weight> weights;
    for (const auto& [trait, holders] : index_by_trait(all)) {
        const std::size_t crashes = count_crashes(holders);
        weights.emplace(
            trait, trait_weight{std::min(crashes, threshold),
                                static_cast<double>(crashes) / static_cast<double>(holders.size()),
                                crashes});
    }
    std::map<std::string, std::pair<suspicion, suspect_list>> by_crash;
    for (const crash_suspect* each : all) {
        suspicion found;
        for (const std::string& trait : each->traits) {
            found.push_back(weights.at(trait));
        }
        std::sort(found.begin(), found.end(), std::greater<>{});
        auto& [highest, remaining] = by_crash[each->crash];
        if (found > highest) {
            highest = found;
            remaining.clear();
        }
        if (found == highest) {
            remaining.push_back(each);
        }
    }
    suspect_list result;
    for (const auto& [crash, entry] : by_crash) {
        result.insert(result.end(), entry.second.begin(), entry.second.end());
    }
    return result;
}

request_traits common_traits(const suspect_list& suspects)
{
    request_traits common = suspects.front()->traits;
    for (const crash_suspect* each : suspects) {
        std::erase_if(common,
                      [each](const std::string& trait) { return !each->traits.contains(trait); });
    }
    return common;
}

} // namespace

std::vector<deadly_set> find_deadly_sets(const std::vector<crash_suspect>& suspects,
                                         std::size_t threshold)
{
    std::map<request_traits, core::instant> found;
    for (const auto& [trait, holders] : index_by_trait(most_suspected(suspects, threshold))) {
        if (count_crashes(holders) < threshold) {
            continue;
        }
        core::instant& last = found[common_traits(holders)];
        for (const crash_suspect* each : holders) {
            last = std::max(last, each->seen_at);
        }
    }
    std::vector<deadly_set> sets;
    for (const auto& [traits, last] : found) {
        sets.push_back(deadly_set{traits, last});
    }
    return sets;
}

} // namespace cyclamen::relay
