#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time.hpp"
#include "relay/member.hpp"

namespace cyclamen::relay {

/// An instance's entry in the list of instances.
struct member_entry {
    const member instance;
    /// Changes with each write.
    const std::uint64_t version;

    auto operator<=>(const member_entry&) const = default;
};

/// Limits of watching.
struct watch_settings {
    /// Time between two questions to the instance that this one watches.
    const core::duration period = std::chrono::seconds{2};
    /// Questions in a row without an answer after which its entry is withdrawn.
    const std::uint32_t max_failures = 3;

    auto operator<=>(const watch_settings&) const = default;
};

/// The instances that are listed. Each watches the one that follows it by name, so that an entry
/// that was left behind is found at a cost that doesn't grow with the fleet. Used by the relay
/// manager on the decision task.
class member_registry {
  public:
    /// @param self name of this instance
    /// @param settings limits of watching
    member_registry(core::instance_name self, watch_settings settings);

    /// Takes in changes of the list.
    /// @param complete true where entries that are not here are gone
    void update(bool complete, const std::vector<member_entry>& present,
                const std::vector<core::instance_name>& gone);

    /// @return all listed instances, by name
    [[nodiscard]] std::vector<member> members() const;

    /// @return the instance to watch, empty where there is no other
    [[nodiscard]] std::optional<member> watched() const;

    /// Counts what came of a question to a watched instance.
    /// @return the entry to withdraw, empty where none is
    [[nodiscard]] std::optional<member_entry> on_answer(const core::instance_name& asked,
                                                        bool alive);

  private:
    const core::instance_name self_;
    const watch_settings settings_;
    std::map<core::instance_name, member_entry> entries_;
    std::map<core::instance_name, std::uint32_t> failures_;
};

} // namespace cyclamen::relay
