#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "relay/reported_load.hpp"
#include "relay/target.hpp"

namespace cyclamen::relay {

/// Work that this instance has on a target.
struct local_work {
    std::uint32_t open = 0;
    /// Prompt tokens of open requests that have not sent an event yet.
    std::uint64_t unread_tokens = 0;
    /// Requests for which the target is the standby.
    std::uint32_t copies = 0;

    auto operator<=>(const local_work&) const = default;
};

/// A target that may be chosen.
struct candidate {
    const target_record* record;
    const local_work* work;
    /// Distance from the preferred target, 0 to 1: the rank in the rendezvous order of the prompt
    /// key, or the distance from this instance on the ring of the service's targets.
    double distance;
    /// Load that the target reported, null if it was not asked.
    const reported_load* load;
    /// Expected time factor of the target, 1 = usual for its service.
    double pace = 1.0;
    /// Number of running requests beyond which the target slows down, 0 if unknown.
    std::uint32_t takes_well = 0;
    /// Prompt tokens of the request that is placed.
    std::uint64_t prompt_tokens = 0;
};

/// Strategy that selects a target. Called by target_directory on the decision task.
class target_chooser {
  public:
    virtual ~target_chooser() = default;

    /// @param candidates targets in equal health, at least one
    /// @param home failure domain of this instance
    /// @return index of the selected candidate
    [[nodiscard]] virtual std::size_t choose(const std::vector<candidate>& candidates,
                                             const core::failure_domain_name& local_domain) = 0;
};

} // namespace cyclamen::relay
