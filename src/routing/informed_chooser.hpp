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

/// Compares the targets that hold the prompt's prefix and a few random ones by estimated load,
/// missing prefix and failure domain, and takes the cheapest. The random part keeps many instances
/// with the same late news from all taking the same target.
class informed_chooser final : public target_chooser, public target_observer {
  public:
    /// @param settings weights
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

    /// @return what is known of a target, null where it is not declared
    [[nodiscard]] const target_state* find(const core::target_name& target) const;

    /// @return the known prefixes
    [[nodiscard]] const prefix_index& prefixes() const { return prefixes_; }

  private:
    using version_key = std::pair<core::service_name, core::version_name>;

    /// One choice under way.
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
    void compare_holders(target_search& search);
    void compare_random(target_search& search);
    void consider(target_search& search, target_state& candidate);
    [[nodiscard]] target_state* choose_fallback(target_search& search);
    [[nodiscard]] bool can_accept(const target_search& search, target_state& candidate) const;
    [[nodiscard]] double cost_of(const target_search& search, target_state& candidate) const;
    [[nodiscard]] double load_cost(const target_search& search, target_state& candidate) const;
};

} // namespace cyclamen::routing
