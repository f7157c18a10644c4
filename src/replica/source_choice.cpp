#include "replica/source_choice.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "core/hash.hpp"

namespace cyclamen::replica {

namespace {

using ranking = std::vector<const feed_peer*>;

/// Orders by descending capacity, then by a hash that makes the order independent of how instances
/// are named.
ranking rank_members(const std::vector<feed_peer>& members)
{
    ranking ranked;
    for (const feed_peer& each : members) {
        ranked.push_back(&each);
    }
    std::sort(ranked.begin(), ranked.end(), [](const feed_peer* left, const feed_peer* right) {
        return std::tuple{-left->capacity, core::hash_of(left->name.str()), left->name} <
               std::tuple{-right->capacity, core::hash_of(right->name.str()), right->name};
    });
    return ranked;
}

ranking choose_readers(const ranking& ranked, const source_choice_settings& settings)
{
    std::map<core::failure_domain_name, std::size_t> sizes;
    for (const feed_peer* each : ranked) {
        ++sizes[each->domain];
    }
    ranking chosen;
    std::map<core::failure_domain_name, std::size_t> taken;
    for (const feed_peer* each : ranked) {
        const std::size_t wanted = (sizes[each->domain] - 1) / settings.max_followers + 1;
        if (taken[each->domain] < wanted) {
            ++taken[each->domain];
            chosen.push_back(each);
        }
    }
    for (const feed_peer* each : ranked) {
        if (chosen.size() >= settings.min_readers) {
            break;
        }
        if (std::find(chosen.begin(), chosen.end(), each) == chosen.end()) {
            chosen.push_back(each);
        }
    }
    return chosen;
}

} // namespace

source_plan choose_sources(const std::vector<feed_peer>& members, const core::instance_name& self,
                           const core::failure_domain_name& domain,
                           const source_choice_settings& settings)
{
    ranking ranked = rank_members(members);
    const ranking chosen = choose_readers(ranked, settings);
    const auto is_chosen = [&](const feed_peer* each) {
        return std::find(chosen.begin(), chosen.end(), each) != chosen.end();
    };
    const std::uint64_t key = core::hash_of(self.str());
    std::sort(ranked.begin(), ranked.end(), [&](const feed_peer* left, const feed_peer* right) {
        return std::tuple{left->domain != domain, ~core::rendezvous_weight(key, left->name.str())} <
               std::tuple{right->domain != domain,
                          ~core::rendezvous_weight(key, right->name.str())};
    });
    bool reads_store = members.empty();
    std::vector<feed_peer> readers;
    std::vector<feed_peer> others;
    for (const feed_peer* each : ranked) {
        if (each->name == self) {
            reads_store = reads_store || is_chosen(each);
        }
        else {
            (is_chosen(each) ? readers : others).push_back(*each);
        }
    }
    return source_plan{reads_store || readers.empty(), std::move(readers), std::move(others)};
}

} // namespace cyclamen::replica
