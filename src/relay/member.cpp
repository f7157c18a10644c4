#include "relay/member.hpp"

namespace cyclamen::relay {

std::vector<core::socket_address> choose_entries(const std::vector<member>& members,
                                                 const core::failure_domain_name& domain,
                                                 std::size_t fewest)
{
    std::vector<core::socket_address> near;
    std::vector<core::socket_address> all;
    for (const member& each : members) {
        all.push_back(each.entry);
        if (each.domain == domain) {
            near.push_back(each.entry);
        }
    }
    return near.size() >= fewest ? near : all;
}

} // namespace cyclamen::relay
