#include "relay/route_table.hpp"

#include <algorithm>

namespace cyclamen::relay {

route_table::route_table(core::revision revision, std::vector<route> routes,
                         std::vector<service_traits> services, std::vector<account> accounts,
                         caller_limits limits)
    : revision_{revision}, routes_{std::move(routes)}, ranks_{find_ranks(routes_, accounts)},
      needs_keys_{!accounts.empty()}, limits_{limits}
{
    for (const service_traits& each : services) {
        services_.emplace(each.name, each);
    }
    for (const account& each : accounts) {
        for (const std::string& key : each.keys) {
            keys_.emplace(key, each.name);
        }
        if (each.rank.has_value()) {
            account_ranks_.emplace(each.name, *each.rank);
        }
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const std::string_view plain = path.substr(0, path.find('?'));
    const route* best = nullptr;
    for (const route& candidate : routes_) {
        const bool matches = candidate.host == host && plain.starts_with(candidate.prefix);
        if (matches && (best == nullptr || candidate.prefix.size() > best->prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

const core::account_name* route_table::find_account(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &found->second;
}

route_table::request_rank route_table::rank_of(const route& matched_route,
                                               const std::optional<std::uint32_t>& account_rank)
{
    return {account_rank.value_or(matched_route.rank), matched_route.rank};
}

std::map<core::service_name, std::set<route_table::request_rank>>
route_table::find_ranks(const std::vector<route>& routes, const std::vector<account>& accounts)
{
    std::map<core::service_name, std::set<request_rank>> ranks;
    for (const route& each : routes) {
        std::set<request_rank> of_route;
        if (each.is_public || accounts.empty()) {
            of_route.insert(rank_of(each, std::nullopt));
        }
        else {
            for (const account& caller : accounts) {
                of_route.insert(rank_of(each, caller.rank));
            }
        }
        for (const weighted_service& target : each.services) {
            ranks[target.service].insert(of_route.begin(), of_route.end());
        }
    }
    return ranks;
}

std::optional<limits::urgency_rank> route_table::urgency_of(const core::service_name& service,
                                                            const route& matched_route,
                                                            const core::account_name& account) const
{
    const auto ranks = ranks_.find(service);
    if (ranks == ranks_.end() || ranks->second.size() < 2) {
        return std::nullopt;
    }
    const auto found = account_ranks_.find(account);
    const request_rank own = rank_of(
        matched_route, found == account_ranks_.end() ? std::nullopt : std::optional{found->second});
    const auto before = std::distance(ranks->second.begin(), ranks->second.lower_bound(own));
    return limits::bounded_urgency(static_cast<std::uint32_t>(before));
}

const service_traits* route_table::find_unique_service(const std::vector<std::string>& models) const
{
    const service_traits* only = nullptr;
    for (const auto& [name, entry] : services_) {
        const service_traits& service = entry;
        const auto runs = [&service](const std::string& model) {
            return std::find(service.engine->models.begin(), service.engine->models.end(), model) !=
                   service.engine->models.end();
        };
        if (service.engine.has_value() && !models.empty() &&
            std::all_of(models.begin(), models.end(), runs)) {
            if (only != nullptr) {
                return nullptr;
            }
            only = &service;
        }
    }
    return only;
}

const service_traits* route_table::find_service(const core::service_name& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace cyclamen::relay
