#include "relay/member.hpp"

namespace cyclamen::relay {

std::vector<core::socket_address> choose_entries(const std::vector<member>& members,
                                                 const core::failure_domain_name& domain,
                                                 std::size_t min_nearby)
{
    std::vector<core::socket_address> nearby;
    std::vector<core::socket_address> all;
    for (const member& each : members) {
        all.push_back(each.entry);
        if (each.domain == domain) {
            nearby.push_back(each.entry);
        }
    }
    return nearby.size() >= min_nearby ? nearby : all;
}

} // namespace cyclamen::relay
