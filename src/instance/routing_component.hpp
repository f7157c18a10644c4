#pragma once

#include <map>
#include <string>
#include <vector>

#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "limits/fleet_observer.hpp"
#include "routing/target_observer.hpp"

namespace cyclamen::instance {

/// Queries the status of targets periodically and passes it to the target chooser and to admission
/// control.
class routing_component final : public component {
  public:
    /// @param self name of this instance; determines which targets it queries if there are more
    /// than max_queried_targets
    /// @param targets receives updates about targets; must outlive this object
    /// @param fleet receives the capacity of services; must outlive this object
    /// @param out senders, of which the one to the status task is used; must outlive this object
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

    /// Interval between two queries of a target. The queries are sent in batches that are spread
    /// evenly over the interval.
    static constexpr core::duration query_interval = std::chrono::seconds{1};
    static constexpr std::size_t batches_per_interval = 10;
    /// Maximum number of targets that one instance queries.
    static constexpr std::size_t max_queried_targets = 200;

  private:
    /// The last status that a target reported.
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
    /// The targets that this instance queries, in an order specific to this instance.
    std::vector<const model::target*> queried_;
    std::map<core::target_name, reported_state> reported_;
    /// Index of the batch that is queried next, below batches_per_interval.
    std::size_t next_batch_ = 0;
    std::optional<core::instant> next_query_at_;

    void handle(const api::target_load_report& report, core::instant now);
    void handle(const api::target_cache_change& change, core::instant now);
    void handle(const api::target_query_failed& failure, core::instant now);
    void publish_capacity(const core::service_name& service);
};

} // namespace cyclamen::instance
