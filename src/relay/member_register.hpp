#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/time.hpp"
#include "relay/member.hpp"

namespace cyclamen::relay {

/// What an instance last wrote about itself.
struct member_entry {
    const member instance;
    /// Changes with each write.
    const std::uint64_t version;

    auto operator<=>(const member_entry&) const = default;
};

/// Tells instances that live from those whose entry was left behind: an entry counts while it
/// changes. Compares no clocks of different machines.
class member_register {
  public:
    /// @param lapse how long an entry counts without a change
    explicit member_register(core::duration lapse) : lapse_{lapse} {}

    /// Takes in all entries.
    /// @return the instances that live, by name
    [[nodiscard]] std::vector<member> update(const std::vector<member_entry>& entries,
                                             core::instant now);

  private:
    struct sighting {
        std::uint64_t version;
        core::instant since;
    };

    const core::duration lapse_;
    std::map<core::instance_name, sighting> sightings_;
};

} // namespace cyclamen::relay
