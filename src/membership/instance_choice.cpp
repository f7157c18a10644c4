#include "membership/instance_choice.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace cyclamen::membership {

namespace {

constexpr std::size_t max_alternates = 3;
constexpr core::duration min_cache_time = std::chrono::seconds{8};
/// Spreads the cache times, so that callers answered together don't all ask again at once.
constexpr std::uint64_t cache_time_jitter_ms = 4000;

/// @return the serving members, shuffled by the random number
std::vector<const api::member*> serving_in_random_order(const std::vector<api::member>& members,
                                                        std::uint64_t random)
{
    std::vector<const api::member*> serving;
    for (const api::member& member : members) {
        if (member.state == api::member_state::serving) {
            serving.push_back(&member);
        }
    }
    const auto rank = [&](const api::member* member) {
        return core::rendezvous_weight(random, member->identity.name.str());
    };
    std::sort(serving.begin(), serving.end(),
              [&](const auto* left, const auto* right) { return rank(left) > rank(right); });
    return serving;
}

} // namespace

instance_choice choose_instance(const std::vector<api::member>& members,
                                const core::socket_address& self, std::uint64_t random)
{
    const core::duration cache_time =
        min_cache_time + std::chrono::milliseconds{random % (cache_time_jitter_ms + 1)};
    const auto serving = serving_in_random_order(members, random);
    if (serving.empty()) {
        return instance_choice{self, {}, cache_time};
    }
    const api::member& first = *serving.front();
    std::vector<const api::member*> others{serving.begin() + 1, serving.end()};
    std::stable_partition(others.begin(), others.end(), [&](const api::member* member) {
        return member->failure_domain != first.failure_domain;
    });
    others.resize(std::min(others.size(), max_alternates));
    std::vector<core::socket_address> alternates;
    alternates.reserve(others.size());
    for (const api::member* member : others) {
        alternates.push_back(member->callers);
    }
    return instance_choice{first.callers, std::move(alternates), cache_time};
}

} // namespace cyclamen::membership
