#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>

#include "routing/chooser_settings.hpp"
#include "routing/random_source.hpp"
#include "routing/target_chooser.hpp"
#include "routing/target_observer.hpp"
#include "routing/target_pool.hpp"

namespace cyclamen::routing {

/// Chooses the target with the lowest cost, computed from the estimated load, the missing prefix
/// blocks and the failure domain. The candidates are the targets that hold the prompt's prefix and
/// a few random ones; the random draw keeps many instances with the same outdated reports from all
/// choosing the same target (herding).
class informed_chooser final : public target_chooser, public target_observer {
  public:
    /// @param settings cost weights and health limits
    /// @param health_definition the chart `target_health`
    /// @param random source of random numbers
    informed_chooser(chooser_settings settings,
                     std::shared_ptr<const chart::chart> health_definition,
                     std::unique_ptr<random_source> random);

    void configure(model::configuration_ptr configuration) override;
    [[nodiscard]] absl::StatusOr<model::target> choose(const placement_request& request,
                                                       core::instant now) override;
    void on_opened(const core::target_name& target, core::instant now) override;
    void on_finished(const core::target_name& target, core::instant now) override;
    void on_lost(const core::target_name& target, core::instant now) override;

    void on_load(const core::target_name& target, const load_report& report,
                 core::instant now) override;
    void on_cache(const core::target_name& target, const cache_change& change,
                  core::instant now) override;
    void on_leaving(const core::target_name& target, core::instant now) override;
    void on_returned(const core::target_name& target, core::instant now) override;

    /// @return the state of a target, null if it is not declared
    [[nodiscard]] const target_state* find(const core::target_name& target) const;

    /// @return the index of prefixes that targets hold
    [[nodiscard]] const prefix_index& prefixes() const { return prefixes_; }

  private:
    using version_key = std::pair<core::service_name, core::version_name>;

    /// State of one call of choose().
    struct target_search {
        const placement_request& request;
        const std::vector<std::uint64_t>& blocks;
        const std::vector<prefix_holder>& holders;
        target_pool& pool;
        core::instant now;
        target_state* best = nullptr;
        double best_cost = 0.0;
    };

    const chooser_settings settings_;
    std::shared_ptr<const chart::chart> health_definition_;
    std::unique_ptr<random_source> random_;
    model::configuration_ptr configuration_;
    std::map<version_key, std::unique_ptr<target_pool>> pools_;
    std::unordered_map<std::string, target_state*> by_name_;
    std::unordered_map<std::uint64_t, target_state*> by_number_;
    target_number last_number_;
    prefix_index prefixes_;

    [[nodiscard]] target_state* find_state(const core::target_name& target) const;
    /// Considers the targets that hold a prefix of the prompt.
    void compare_holders(target_search& search);
    /// Considers random targets of the version, or all where there are few.
    void compare_random(target_search& search);
    void consider(target_search& search, target_state& candidate);
    /// @return the best target when none can accept the request, null if all leave
    [[nodiscard]] target_state* choose_fallback(target_search& search);
    [[nodiscard]] bool can_accept(const target_search& search, target_state& candidate) const;
    [[nodiscard]] double cost_of(const target_search& search, target_state& candidate) const;
    [[nodiscard]] double load_cost(const target_search& search, target_state& candidate) const;
};

} // namespace cyclamen::routing
