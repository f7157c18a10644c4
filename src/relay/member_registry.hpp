#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/store_version.hpp"
#include "core/time.hpp"
#include "relay/member.hpp"

namespace cyclamen::relay {

/// An instance's entry in the list of instances.
struct member_entry {
    const member instance;
    /// Version of the entry in the store; changes with each write.
    const core::store_version version;

    auto operator<=>(const member_entry&) const = default;
};

/// Settings of the liveness checks between instances.
struct watch_settings {
    /// Time between two checks of the watched instance.
    const core::duration period = std::chrono::seconds{2};
    /// Consecutive failed checks after which the entry is withdrawn.
    const std::uint32_t max_failures = 3;

    auto operator<=>(const watch_settings&) const = default;
};

/// The listed instances. Each instance watches the next one by name, so that stale entries are
/// found at a cost per instance that doesn't grow with the fleet. Used by the relay manager on the
/// decision task.
class member_registry {
  public:
    /// @param self name of this instance
    /// @param settings settings of the checks
    member_registry(core::instance_name self, watch_settings settings);

    /// Applies changes of the list.
    /// @param complete true if `present` is the complete list; other entries are removed
    /// @param present entries that were added or changed
    /// @param gone instances whose entries were removed
    void update(bool complete, const std::vector<member_entry>& present,
                const std::vector<core::instance_name>& gone);

    /// @return all listed instances, ordered by name
    [[nodiscard]] std::vector<member> members() const;

    /// @return the instance to watch, empty if no other is listed
    [[nodiscard]] std::optional<member> watched() const;

    /// Records the result of a check of the watched instance.
    /// @param asked name of that instance
    /// @param alive true if it answered
    /// @return its entry if the entry is to be withdrawn, otherwise empty
    [[nodiscard]] std::optional<member_entry> on_answer(const core::instance_name& asked,
                                                        bool alive);

  private:
    const core::instance_name self_;
    const watch_settings settings_;
    std::map<core::instance_name, member_entry> entries_;
    std::map<core::instance_name, std::uint32_t> failures_;
};

} // namespace cyclamen::relay
