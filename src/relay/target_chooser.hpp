#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "relay/reported_load.hpp"
#include "relay/target.hpp"

namespace cyclamen::relay {

/// Work of this instance on a target.
struct local_work {
    std::uint32_t open = 0;
    /// Prompt tokens of open requests that have sent nothing yet.
    std::uint64_t unread_tokens = 0;
    /// Requests whose memory is copied to it.
    std::uint32_t copies = 0;

    auto operator<=>(const local_work&) const = default;
};

/// A target that may be chosen.
struct candidate {
    const target_record* record;
    const local_work* work;
    /// How far the target is from the preferred one, 0 to 1: by the prompt's own order of targets,
    /// or on the ring of the service's targets from this instance's place.
    double distance;
    /// What the target said of itself, null where it was not asked.
    const reported_load* load;
};

/// Compares targets. Called by target_directory on the decision task.
class target_chooser {
  public:
    virtual ~target_chooser() = default;

    /// @param candidates at least one; all are equally fit to take work
    /// @param home failure domain of this instance
    /// @return index of the one to use
    [[nodiscard]] virtual std::size_t choose(const std::vector<candidate>& candidates,
                                             const core::failure_domain_name& local_domain) = 0;
};

} // namespace cyclamen::relay
