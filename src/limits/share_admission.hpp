#pragma once

#include <map>
#include <memory>

#include "limits/admission_policy.hpp"
#include "limits/admission_settings.hpp"
#include "limits/fleet_observer.hpp"
#include "limits/service_admission.hpp"

namespace cyclamen::limits {

/// Gives each account its share of each service, lends unused capacity to other accounts, and
/// refuses early the requests that would miss their deadline. Each instance claims a part of each
/// share in proportion to its part of the total demand, as reported by its peers; no store access
/// is needed.
class share_admission final : public admission_policy, public fleet_observer {
  public:
    explicit share_admission(admission_settings settings) : settings_{settings} {}

    void configure(model::configuration_ptr configuration) override;
    [[nodiscard]] std::optional<core::failure> offer(const admission_request& request,
                                                     core::instant now) override;
    [[nodiscard]] admission_result release(core::instant now) override;
    void on_ended(core::generation_id id, bool complete, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;

    void on_serving_instances(std::uint32_t serving) override;
    void on_peer_demand(const demand_report& report, core::instant now) override;
    void on_capacity(const core::service_name& service, double requests) override;
    [[nodiscard]] std::vector<account_demand> demand() const override;

  private:
    const admission_settings settings_;
    model::configuration_ptr configuration_;
    std::map<core::account_name, model::client_account> accounts_;
    std::map<core::service_name, std::unique_ptr<service_admission>> admissions_;
    std::map<core::generation_id, service_admission*> admission_of_request_;
    std::uint32_t serving_ = 0;
    core::instant last_release_at_{core::duration::min()};

    /// @return the admission to a service, created on first use
    service_admission& admission_for(const core::service_name& service);
};

} // namespace cyclamen::limits
