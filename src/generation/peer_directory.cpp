#include "generation/peer_directory.hpp"

#include <algorithm>
#include <tuple>

#include "core/hash.hpp"

namespace cyclamen::generation {

peer_directory::peer_directory(checkpoint_peer own, std::vector<checkpoint_peer> peers)
    : failure_domain_{own.failure_domain}, peers_{std::move(peers)}
{
}

std::vector<api::checkpoint_party> peer_directory::holders_of(const api::checkpoint_key& key) const
{
    const std::uint64_t key_hash = core::hash_of(key.key.str(), core::hash_of(key.account.str()));
    using rank = std::tuple<bool, std::uint64_t, const checkpoint_peer*>;
    std::vector<rank> ranks;
    for (const checkpoint_peer& each : peers_) {
        ranks.emplace_back(each.failure_domain == failure_domain_,
                           ~core::rendezvous_weight(key_hash, each.party.name.str()), &each);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<api::checkpoint_party> order;
    for (const rank& each : ranks) {
        order.push_back(std::get<2>(each)->party);
    }
    return order;
}

} // namespace cyclamen::generation
