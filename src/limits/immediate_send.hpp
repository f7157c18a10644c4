#pragma once

#include "limits/send_policy.hpp"

namespace cyclamen::limits {

/// Sends each call at once to its preferred target. The baseline of measurements.
class immediate_send final : public send_policy {
  public:
    [[nodiscard]] send_decision decide(const send_request& request, core::instant now) override
    {
        return send_decision{send_verdict::send, request.targets.front(), now,
                             core::duration::zero()};
    }
    [[nodiscard]] bool limits_at(core::instant /*now*/) const override { return false; }
    [[nodiscard]] double rate_of(const core::target_name& /*target*/) const override { return 0.0; }
    void on_sent(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_answered(const core::target_name& /*target*/, core::duration /*goal*/,
                     core::duration /*took*/, core::instant /*now*/) override
    {
    }
    void on_rejected(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_lost(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_ended(std::uint64_t /*number*/) override {}
    void set_instances(std::size_t /*count*/, core::instant /*now*/) override {}
    void on_listed(const core::target_name& /*target*/, std::uint32_t /*slots*/) override {}
    void on_forgotten(const core::target_name& /*target*/) override {}
};

} // namespace cyclamen::limits
