#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "limits/urgency.hpp"

namespace cyclamen::relay {

/// Why a request is refused before any route table is known.
inline constexpr std::string_view unconfigured_problem = "no configuration has been read yet";

/// Whether a request may be run more than once.
enum class request_kind {
    /// May run any number of times.
    safe,
    /// Runs at most once.
    unsafe,
    /// Answered by a stream of numbered events; runs at most once unless it is resumable.
    streaming,
};

/// A service that receives a share of a route's requests.
struct weighted_service {
    const core::service_name service;
    const std::uint32_t weight;

    auto operator<=>(const weighted_service&) const = default;
};

/// Assigns requests to services and sets their limits.
struct route {
    const std::string name;
    const std::string host;
    /// Path prefix, which begins and ends with a slash; the longest matching one wins.
    const std::string prefix;
    const request_kind kind;
    /// Time limit until the response is complete.
    const core::duration answer_limit;
    /// Target time until the response, or until the first event of a stream.
    const core::duration answer_goal;
    /// Target for the longest pause between two events of a stream.
    const core::duration pause_goal;
    /// Priority; 0 is the highest.
    const std::uint32_t rank;
    const std::vector<weighted_service> services;
    /// Maximum number of targets that may run one request.
    const std::uint32_t max_runs;
    /// True if callers need no key.
    const bool is_public;
    /// True if a stream can be resumed at another target after the last event received.
    const bool resumable;

    auto operator<=>(const route&) const = default;
};

/// Capabilities of the model engines of a service.
struct engine_traits {
    const std::uint32_t slots;
    /// Capacity of the memory of one engine in prompt and output tokens.
    const std::uint64_t memory_tokens;
    /// True if an engine can mirror a request's memory to another one while the request runs.
    const bool mirrors_memory;
    /// True if an engine copies a request's memory to any other one on demand.
    const bool copies_on_demand;
    /// How long an engine keeps a copy made on demand.
    const core::duration copy_retention;
    /// Models that these engines run.
    const std::vector<std::string> models;

    auto operator<=>(const engine_traits&) const = default;
};

/// A service as declared by the operator.
struct service_traits {
    const core::service_name name;
    /// Path at which an engine reports its name.
    const std::string health_path;
    /// Empty for a plain service.
    const std::optional<engine_traits> engine;

    auto operator<=>(const service_traits&) const = default;
};

/// A client account with its keys.
struct account {
    const core::account_name name;
    const std::vector<std::string> keys;
    /// Priority of its requests, instead of their routes'; 0 is the highest.
    const std::optional<std::uint32_t> rank = {};

    auto operator<=>(const account&) const = default;
};

/// Limits on callers' requests and connections.
struct caller_limits {
    const std::size_t max_header_bytes;
    const std::size_t max_body_bytes;
    const core::duration header_timeout;
    const core::duration idle_timeout;

    auto operator<=>(const caller_limits&) const = default;
};

/// One accepted configuration of routes, services and accounts. Immutable.
class route_table {
  public:
    /// @param revision revision of the configuration
    /// @param routes at most one per host and prefix
    /// @param services with unique names
    /// @param accounts empty if callers need no keys
    /// @param limits limits on callers' requests
    route_table(core::revision revision, std::vector<route> routes,
                std::vector<service_traits> services, std::vector<account> accounts,
                caller_limits limits);

    [[nodiscard]] core::revision revision() const { return revision_; }
    [[nodiscard]] const std::vector<route>& routes() const { return routes_; }
    [[nodiscard]] const caller_limits& limits() const { return limits_; }
    [[nodiscard]] bool needs_keys() const { return needs_keys_; }

    /// @param host host name of a request, without a port
    /// @param path path of the request, including the query string
    /// @return the route with the longest matching prefix, null if none matches
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// @return the account with this key, null if there is none
    [[nodiscard]] const core::account_name* find_account(const std::string& key) const;

    /// @param service service of a request
    /// @param matched_route its route
    /// @param account its account, empty on a public route
    /// @return its place among the ranks of the service's requests, 0 first: the account's rank
    ///         decides, and the route's among accounts of equal rank; empty if all are equal
    [[nodiscard]] std::optional<limits::urgency_rank>
    urgency_of(const core::service_name& service, const route& matched_route,
               const core::account_name& account) const;

    /// @return the only service whose engines run all of the models, null if there is none or more
    ///         than one
    [[nodiscard]] const service_traits*
    find_unique_service(const std::vector<std::string>& models) const;

    /// @return the service, null if it is unknown
    [[nodiscard]] const service_traits* find_service(const core::service_name& name) const;

    auto operator<=>(const route_table&) const = default;

  private:
    core::revision revision_;
    std::vector<route> routes_;
    std::map<core::service_name, service_traits> services_;
    std::map<std::string, core::account_name> keys_;
    std::map<core::account_name, std::uint32_t> account_ranks_;
    /// Rank of a request's account, or else of its route, and rank of its route.
    using request_rank = std::pair<std::uint32_t, std::uint32_t>;
    /// Ranks that the requests of a service can have.
    std::map<core::service_name, std::set<request_rank>> ranks_;
    bool needs_keys_;
    caller_limits limits_;

    [[nodiscard]] static request_rank rank_of(const route& matched_route,
                                              const std::optional<std::uint32_t>& account_rank);
    [[nodiscard]] static std::map<core::service_name, std::set<request_rank>>
    find_ranks(const std::vector<route>& routes, const std::vector<account>& accounts);
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace cyclamen::relay
