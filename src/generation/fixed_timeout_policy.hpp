#pragma once

#include "generation/timeout_policy.hpp"

namespace cyclamen::generation {

/// The naive policy, a baseline for comparison: the same limits for every version, and no probes.
class fixed_timeout_policy final : public timeout_policy {
  public:
    /// @param first_token limit of the time to first token
    /// @param token_gap limit of the gap between tokens; also the probe and stall limit
    fixed_timeout_policy(core::duration first_token, core::duration token_gap)
        : first_token_{first_token}, token_gap_{token_gap}
    {
    }

    [[nodiscard]] core::duration first_token_limit(const attempt_workload& /*work*/) const override
    {
        return first_token_;
    }
    [[nodiscard]] core::duration token_gap_limit(const attempt_workload& /*work*/) const override
    {
        return token_gap_;
    }
    [[nodiscard]] core::duration probe_limit() const override { return token_gap_; }
    [[nodiscard]] core::duration stall_limit(bool /*has_token*/) const override
    {
        return token_gap_;
    }
    [[nodiscard]] bool probes() const override { return false; }

    void on_first_token(const attempt_subject& /*subject*/, core::duration /*latency*/,
                        core::instant /*now*/) override
    {
    }
    void on_finished(const attempt_subject& /*subject*/, std::uint64_t /*tokens*/,
                     core::duration /*latency*/, core::instant /*now*/) override
    {
    }
    void on_lost(const attempt_subject& /*subject*/, const attempt_loss& /*loss*/,
                 core::instant /*now*/) override
    {
    }
    void on_loss_excused(const attempt_subject& /*subject*/, core::instant /*now*/) override {}

  private:
    core::duration first_token_;
    core::duration token_gap_;
};

} // namespace cyclamen::generation
