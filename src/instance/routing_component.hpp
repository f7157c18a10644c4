#pragma once

#include <map>
#include <string>
#include <vector>

#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "limits/fleet_observer.hpp"
#include "routing/target_observer.hpp"

namespace cyclamen::instance {

/// Asks targets how they are, and hands what they tell to the choice of targets and to admission.
class routing_component final : public component {
  public:
    /// @param self name of this instance; decides which targets it asks where there are many
    /// @param news hears of targets; outlives this
    /// @param fleet hears of the capacity of services; outlives this
    /// @param out reaches the status task
    routing_component(core::instance_name self, routing::target_observer& targets,
                      limits::fleet_observer& fleet, senders& out);

    void on_start(core::instant now) override;
    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override
    {
        return next_query_at_;
    }
    void on_timer(core::instant now) override;

    /// How often each target is asked, and in how many steps of a period.
    static constexpr core::duration query_interval = std::chrono::seconds{1};
    static constexpr std::size_t batches_per_interval = 10;
    /// Most targets that one instance asks.
    static constexpr std::size_t max_queried_targets = 200;

  private:
    /// What a target told last.
    struct reported_state {
        std::uint32_t capacity = 0;
        bool leaving = false;
        std::uint64_t last_change = 0;
    };

    const core::instance_name self_;
    routing::target_observer& targets_;
    limits::fleet_observer& fleet_;
    senders& out_;
    model::configuration_ptr configuration_;
    /// The targets that this instance asks, in an order of its own.
    std::vector<const model::target*> queried_;
    std::map<core::target_name, reported_state> reported_;
    std::size_t next_batch_ = 0;
    std::optional<core::instant> next_query_at_;

    void handle(const api::target_load_report& report, core::instant now);
    void handle(const api::target_cache_change& change, core::instant now);
    void handle(const api::target_query_failed& failure, core::instant now);
    void publish_capacity(const core::service_name& service);
};

} // namespace cyclamen::instance
