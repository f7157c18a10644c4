#pragma once

#include <map>
#include <memory>
#include <vector>

#include "model/target.hpp"
#include "routing/prefix_index.hpp"
#include "routing/target_health.hpp"
#include "routing/target_load.hpp"

namespace cyclamen::routing {

/// State that a chooser keeps for one target.
struct target_state {
    /// Points into the active configuration.
    const model::target* declared = nullptr;
    const target_number number;
    const std::unique_ptr<target_health> health;
    target_load load = {};
    /// Sequence number of the last cache change received, 0 before the first.
    std::uint64_t last_change = 0;
};

/// The targets of one version of a service; limits how many of them are ejected. Owned by a
/// chooser.
class target_pool final : public ejection_budget {
  public:
    /// @param max_ejected_fraction maximum fraction of the targets that may be ejected
    explicit target_pool(double max_ejected_fraction) : max_ejected_fraction_{max_ejected_fraction}
    {
    }

    /// Adds a target or updates its declaration.
    /// @return its state
    target_state& declare(const model::target& declared, target_number number,
                          const health_settings& settings,
                          const std::shared_ptr<const chart::chart>& definition);

    /// Removes the targets that were not declared since begin_configuration().
    /// @return numbers of the removed targets
    std::vector<target_number> remove_undeclared();

    /// Starts applying a configuration: declare() follows for each of its targets, then
    /// remove_undeclared().
    void begin_configuration();

    [[nodiscard]] const std::vector<target_state*>& targets() const { return targets_; }

    /// @return requests of other instances at a target, averaged over the reports
    [[nodiscard]] double average_other_load(core::instant now);

    /// @return number of ejected targets
    [[nodiscard]] std::size_t ejected() const { return ejected_; }

    [[nodiscard]] bool can_eject_another() const override;
    void on_ejection_changed(bool ejected) override;

  private:
    /// How long a computed average is reused.
    static constexpr core::duration average_refresh_period = std::chrono::milliseconds{200};

    const double max_ejected_fraction_;
    std::size_t ejected_ = 0;
    std::map<core::target_name, std::unique_ptr<target_state>> states_;
    std::vector<target_state*> targets_;
    double average_other_load_ = 0.0;
    core::instant average_valid_until_{core::duration::min()};
};

} // namespace cyclamen::routing
