#include "relay/member_register.hpp"

#include <set>

namespace cyclamen::relay {

std::vector<member> member_register::update(const std::vector<member_entry>& entries,
                                            core::instant now)
{
    std::vector<member> living;
    std::set<core::instance_name> present;
    for (const member_entry& each : entries) {
        present.insert(each.instance.name);
        const auto [found, is_new] =
            sightings_.try_emplace(each.instance.name, sighting{each.version, now});
        if (!is_new && found->second.version != each.version) {
            found->second = sighting{each.version, now};
        }
        if (now - found->second.since <= lapse_) {
            living.push_back(each.instance);
        }
    }
    std::erase_if(sightings_, [&](const auto& each) { return !present.contains(each.first); });
    return living;
}

} // namespace cyclamen::relay
