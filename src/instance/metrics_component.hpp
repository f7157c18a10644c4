#pragma once

#include "instance/account_metrics.hpp"
#include "instance/call_component.hpp"
#include "instance/component.hpp"
#include "instance/generation_component.hpp"
#include "instance/senders.hpp"

namespace cyclamen::instance {

/// Keeps the metrics of the instance and answers collectors.
class metrics_component final : public component {
  public:
    /// @param generations what some of the metrics report on; outlives this
    /// @param calls what others report on; outlives this
    /// @param out reaches the front task
    metrics_component(const generation_component& generations, const call_component& calls,
                      senders& out);

    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;

    /// @return where components keep their counters; it lives as long as this
    [[nodiscard]] metrics::registry& registry() { return registry_; }

    /// @return measures what client accounts get
    [[nodiscard]] account_metrics& accounts() { return accounts_; }

  private:
    const generation_component& generations_;
    const call_component& calls_;
    senders& out_;
    metrics::registry registry_;
    account_metrics accounts_{registry_};
};

} // namespace cyclamen::instance
