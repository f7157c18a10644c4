#include "relay/route_table.hpp"

#include <algorithm>

namespace cyclamen::relay {

route_table::route_table(core::revision revision, std::vector<route> routes,
                         std::vector<service_traits> services, std::vector<account> accounts,
                         caller_limits limits)
    : revision_{revision}, routes_{std::move(routes)}, ordered_services_{find_ordered_services(
                                                           routes_, accounts)},
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

std::set<core::service_name>
route_table::find_ordered_services(const std::vector<route>& routes,
                                   const std::vector<account>& accounts)
{
    std::map<core::service_name, std::set<limits::urgency_rank>> ranks;
    for (const route& each : routes) {
        std::set<limits::urgency_rank> of_route;
        if (each.is_public || accounts.empty()) {
            of_route.insert(limits::bounded_urgency(each.rank));
        }
        else {
            for (const account& caller : accounts) {
                of_route.insert(limits::bounded_urgency(caller.rank.value_or(each.rank)));
            }
        }
        for (const weighted_service& target : each.services) {
            ranks[target.service].insert(of_route.begin(), of_route.end());
        }
    }
    std::set<core::service_name> ordered;
    for (const auto& [service, found] : ranks) {
        if (found.size() > 1) {
            ordered.insert(service);
        }
    }
    return ordered;
}

std::optional<limits::urgency_rank> route_table::urgency_of(const core::service_name& service,
                                                            const route& matched_route,
                                                            const core::account_name& account) const
{
    if (!ordered_services_.contains(service)) {
        return std::nullopt;
    }
    const auto rank = account_ranks_.find(account);
    return limits::bounded_urgency(rank == account_ranks_.end() ? matched_route.rank
                                                                : rank->second);
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
