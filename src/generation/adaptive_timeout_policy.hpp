#pragma once

#include <map>

#include "generation/duration_histogram.hpp"
#include "generation/timeout_policy.hpp"

namespace cyclamen::generation {

/// Parameters of adaptive_timeout_policy. A limit is `factor` times the observed `quantile` plus
/// `margin`, clamped to its minimum and maximum.
struct adaptive_timeout_settings {
    /// Quantile of the observed token gaps, or of the times to first token, from which a limit is
    /// derived.
    const double quantile = 0.99;
    const double factor = 4.0;
    const core::duration margin = std::chrono::milliseconds{50};
    const core::duration min_gap_limit = std::chrono::milliseconds{200};
    const core::duration max_gap_limit = std::chrono::milliseconds{1500};
    /// Token gap limit of a version before its first gap was observed.
    const core::duration initial_gap_limit = std::chrono::milliseconds{800};
    const core::duration min_first_token_limit = std::chrono::milliseconds{400};
    const core::duration max_first_token_limit = std::chrono::seconds{10};
    /// First token limit of a version before its first token was observed.
    const core::duration initial_first_token_limit = std::chrono::seconds{2};
    /// Time within which an engine must answer a probe.
    const core::duration probe_limit = std::chrono::milliseconds{700};
    /// How long a stream that a probe has confirmed as alive may produce no further token.
    const core::duration stall_limit = std::chrono::milliseconds{1500};

    auto operator<=>(const adaptive_timeout_settings&) const = default;
};

/// Derives the limits of each version from its observed token gaps and from its times to first
/// token, which include queueing and are grouped by prompt length. An attempt that exceeds its
/// limit is probed before it is abandoned, so that a limit that is too short costs only one small
/// request.
class adaptive_timeout_policy final : public timeout_policy {
  public:
    explicit adaptive_timeout_policy(adaptive_timeout_settings settings = {}) : settings_{settings}
    {
    }

    [[nodiscard]] core::duration first_token_limit(const attempt_workload& work) const override;
    [[nodiscard]] core::duration token_gap_limit(const attempt_workload& work) const override;
    [[nodiscard]] core::duration probe_limit() const override { return settings_.probe_limit; }
    [[nodiscard]] core::duration stall_limit(bool has_token) const override
    {
        return has_token ? settings_.stall_limit : settings_.max_first_token_limit;
    }
    [[nodiscard]] bool probes() const override { return true; }

    void on_first_token(const attempt_subject& subject, core::duration latency,
                        core::instant now) override;
    void on_gap(const attempt_subject& subject, core::duration gap, core::instant now) override;
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
    using version_key = std::pair<core::service_name, core::version_name>;

    /// Latencies observed for one version.
    struct version_latencies {
        duration_histogram token_gaps;
        core::duration gap_limit{};
        std::uint64_t gap_count = 0;
        /// Keyed by the binary logarithm of the prompt length in words.
        std::map<int, duration_histogram> first_token_latencies;
    };

    /// The gap limit is recomputed after this many gaps.
    static constexpr std::uint64_t gaps_per_update = 32;

    const adaptive_timeout_settings settings_;
    std::map<version_key, version_latencies> versions_;

    [[nodiscard]] core::duration limit_from(core::duration observed, core::duration min_limit,
                                            core::duration max_limit) const;
};

} // namespace cyclamen::generation
