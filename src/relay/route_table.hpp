#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// What may be repeated of a request.
enum class request_kind {
    /// May run any number of times.
    safe,
    /// Runs at most once.
    unsafe,
    /// Answered by a series of numbered events; runs at most once unless it can be resumed.
    streaming,
};

/// A service that gets part of a route's requests.
struct weighted_service {
    const core::service_name service;
    const std::uint32_t weight;

    auto operator<=>(const weighted_service&) const = default;
};

/// Which requests go to which services, and under which limits.
struct route {
    const std::string name;
    const std::string host;
    /// Begins and ends with a slash; the longest one that begins a path wins.
    const std::string prefix;
    const request_kind kind;
    /// Longest time until the final answer.
    const core::duration answer_limit;
    /// A later answer (a stream's first event) is worth less.
    const core::duration answer_goal;
    /// Longest pause between two events of a stream.
    const core::duration pause_goal;
    /// 0 goes first.
    const std::uint32_t rank;
    const std::vector<weighted_service> services;
    /// Most targets that may run one request.
    const std::uint32_t max_runs;
    /// True where callers need no key.
    const bool is_public;
    /// True where a stream can go on at another target after the last event received.
    const bool resumable;

    auto operator<=>(const route&) const = default;
};

/// What the model engines of a service can do.
struct engine_traits {
    const std::uint32_t slots;
    /// Prompt and output tokens that fit into the memory of one engine.
    const std::uint64_t memory_tokens;
    /// True where an engine can copy a request's memory to another one while the request runs.
    const bool mirrors_memory;
    /// True where it copies a request's memory to any other one when it is told to.
    const bool copies_on_demand;
    /// How long an engine keeps such a copy.
    const core::duration copy_retention;
    /// Models that these engines run.
    const std::vector<std::string> models;

    auto operator<=>(const engine_traits&) const = default;
};

/// A service as the operator describes it.
struct service_traits {
    const core::service_name name;
    /// Path of a question that an engine answers with its name.
    const std::string health_path;
    /// Empty for a plain service.
    const std::optional<engine_traits> engine;

    auto operator<=>(const service_traits&) const = default;
};

/// A client account with its keys.
struct account {
    const core::account_name name;
    const std::vector<std::string> keys;

    auto operator<=>(const account&) const = default;
};

/// Limits of what callers may send.
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
    /// @param number number of the configuration
    /// @param routes at most one for a host and prefix
    /// @param services at most one for a name
    /// @param accounts empty where callers need no keys
    /// @param limits limits of what callers may send
    route_table(core::revision revision, std::vector<route> routes,
                std::vector<service_traits> services, std::vector<account> accounts,
                caller_limits limits);

    [[nodiscard]] core::revision revision() const { return revision_; }
    [[nodiscard]] const std::vector<route>& routes() const { return routes_; }
    [[nodiscard]] const caller_limits& limits() const { return limits_; }
    [[nodiscard]] bool needs_keys() const { return needs_keys_; }

    /// @param host host name of a request, without a port
    /// @param path path of the request, with its query
    /// @return the route with the longest prefix, null where none matches
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// @return the account that holds the key, null where none does
    [[nodiscard]] const core::account_name* find_account(const std::string& key) const;

    /// @return the only service whose engines run all of the models, null where there is none or
    ///         more than one
    [[nodiscard]] const service_traits*
    find_unique_service(const std::vector<std::string>& models) const;

    /// @return the service, null where it is unknown
    [[nodiscard]] const service_traits* find_service(const core::service_name& name) const;

    auto operator<=>(const route_table&) const = default;

  private:
    core::revision revision_;
    std::vector<route> routes_;
    std::map<core::service_name, service_traits> services_;
    std::map<std::string, core::account_name> keys_;
    bool needs_keys_;
    caller_limits limits_;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace cyclamen::relay
