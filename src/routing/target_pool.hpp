#pragma once

#include <map>
#include <memory>
#include <vector>

#include "model/target.hpp"
#include "routing/prefix_index.hpp"
#include "routing/target_health.hpp"
#include "routing/target_load.hpp"

namespace cyclamen::routing {

/// What a chooser knows of one target.
struct target_state {
    /// Points into the configuration in force.
    const model::target* declared = nullptr;
    const target_number number;
    const std::unique_ptr<target_health> health;
    target_load load = {};
    /// Number of the last cache change that was heard, 0 before the first.
    std::uint64_t last_change = 0;
};

/// The targets of one version of a service. Bounds how many of them are ejected. Owned by a
/// chooser.
class target_pool final : public ejection_budget {
  public:
    /// @param most_ejected largest part of the targets that may be ejected
    explicit target_pool(double max_ejected_fraction) : max_ejected_fraction_{max_ejected_fraction}
    {
    }

    /// Adds a target, or takes over its new declaration.
    /// @return its state
    target_state& declare(const model::target& declared, target_number number,
                          const health_settings& settings,
                          const std::shared_ptr<const chart::chart>& definition);

    /// Removes the targets that a configuration doesn't declare, after declare() for all others.
    /// @return the numbers of those that were removed
    std::vector<target_number> remove_undeclared();

    /// Begins to take over a configuration.
    void begin_configuration();

    [[nodiscard]] const std::vector<target_state*>& targets() const { return targets_; }

    /// @return what other instances have open at a target, on average over the reports
    [[nodiscard]] double average_other_load(core::instant now);

    [[nodiscard]] std::size_t ejected() const { return ejected_; }

    [[nodiscard]] bool can_eject_another() const override;
    void on_ejection_changed(bool ejected) override;

  private:
    /// How long an average is used before it is formed anew.
    static constexpr core::duration average_refresh_period = std::chrono::milliseconds{200};

    const double max_ejected_fraction_;
    std::size_t ejected_ = 0;
    std::map<core::target_name, std::unique_ptr<target_state>> states_;
    std::vector<target_state*> targets_;
    double average_other_load_ = 0.0;
    core::instant average_valid_until_{core::duration::min()};
};

} // namespace cyclamen::routing
