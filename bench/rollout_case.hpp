#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "rollout/share_policy.hpp"

namespace cyclamen::bench {

/// Fault of the new version in a case.
enum class fault_kind : std::uint8_t {
    none,
    fails_at_once,
    fails_later,
    slow,
    under_load_only,
    one_route_only,
    crashes_after_minutes,
};
constexpr std::array all_faults{fault_kind::none,
                                fault_kind::fails_at_once,
                                fault_kind::fails_later,
                                fault_kind::slow,
                                fault_kind::under_load_only,
                                fault_kind::one_route_only,
                                fault_kind::crashes_after_minutes};

[[nodiscard]] std::string_view to_string(fault_kind kind);

/// Size of a deployment.
struct deployment {
    std::string_view name;
    int instances;
    /// Targets of each of the two versions.
    int targets;
    /// Maximum number of concurrent generations of a target.
    int slots;
    /// Requests per second from all callers together.
    double request_rate;
};
constexpr deployment lantern{"lantern", 12, 20, 32, 38};
constexpr deployment touwbaan{"touwbaan", 16, 20, 32, 38};

/// Result of one case.
struct case_result {
    /// True if all traffic was on the new version by the deadline.
    bool moved_in_time = false;
    bool taken_back = false;
    /// Largest fraction of the requests of any five minutes that went to the new version before the
    /// verdict.
    double largest_share = 0;
    /// Seconds from the third faulty outcome to the last new request on the version; empty if it
    /// wasn't taken back.
    std::optional<double> stop_delay;
    /// Why it was taken back.
    std::string reason;
};

/// Simulates one rollout in virtual time. Traffic, targets and gossip are simulated; the outcome
/// recorder, the evidence, the policy and the choice of the version are the production code.
/// @param policy policy to measure
/// @param classifies true if failures of stores are told apart from faults of the version
/// @param sizes size of the deployment
/// @param kind fault of the new version
/// @param seed seed of all random numbers of the case
[[nodiscard]] case_result run_case(const rollout::share_policy& policy, bool classifies,
                                   const deployment& sizes, fault_kind kind, std::uint64_t seed);

} // namespace cyclamen::bench
