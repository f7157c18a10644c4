#pragma once

#include <algorithm>

#include "instance/component.hpp"
#include "instance/members_listener.hpp"
#include "limits/share_admission.hpp"

namespace cyclamen::instance {

/// Owns the admission control of this instance and informs it about the other instances.
class limits_component final : public component, public members_listener {
  public:
    void on_start(core::instant /*now*/) override { admission_.on_serving_instances(1); }

    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant /*now*/) override
    {
        admission_.configure(configuration);
    }

    void on_message(const decision_message& /*message*/, core::instant /*now*/) override {}

    /// Each serving instance admits its share of the capacity of the targets.
    void on_members(const std::vector<api::member>& others, core::instant /*now*/) override
    {
        const auto serving = std::ranges::count(others, api::member_state::serving,
                                                [](const api::member& each) { return each.state; });
        admission_.on_serving_instances(1 + static_cast<std::uint32_t>(serving));
    }

    /// @return the admission policy, for the generation manager; valid as long as this object
    [[nodiscard]] limits::admission_policy& policy() { return admission_; }

    /// @return the receiver of updates about the fleet; valid as long as this object
    [[nodiscard]] limits::fleet_observer& fleet() { return admission_; }

  private:
    limits::share_admission admission_{limits::admission_settings{}};
};

} // namespace cyclamen::instance
