#pragma once

#include "instance/account_metrics.hpp"
#include "instance/call_component.hpp"
#include "instance/component.hpp"
#include "instance/generation_component.hpp"
#include "instance/senders.hpp"

namespace cyclamen::instance {

/// Holds the metrics of the instance and answers metrics queries.
class metrics_component final : public component {
  public:
    /// @param generations source of the metrics of generations; must outlive this object
    /// @param calls source of the metrics of calls; must outlive this object
    /// @param out senders, of which the one to the front task is used; must outlive this object
    metrics_component(const generation_component& generations, const call_component& calls,
                      senders& out);

    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;

    /// @return the registry for the counters of other components; valid as long as this object
    [[nodiscard]] metrics::registry& registry() { return registry_; }

    /// @return the metrics of client accounts, to be added as a listener of the generation manager
    [[nodiscard]] account_metrics& accounts() { return accounts_; }

  private:
    const generation_component& generations_;
    const call_component& calls_;
    senders& out_;
    metrics::registry registry_;
    account_metrics accounts_{registry_};
};

} // namespace cyclamen::instance
