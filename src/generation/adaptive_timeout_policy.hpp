#pragma once

#include <map>

#include "generation/duration_histogram.hpp"
#include "generation/timeout_policy.hpp"

namespace cyclamen::generation {

/// Bounds of adaptive_timeout_policy. A limit is `factor` times the stated quantile plus `margin`,
/// within the bounds.
struct adaptive_timeout_settings {
    /// Quantile of the gaps, or of the times to the first token, that counts as usual.
    const double quantile = 0.99;
    const double factor = 4.0;
    const core::duration margin = std::chrono::milliseconds{50};
    const core::duration min_gap_limit = std::chrono::milliseconds{200};
    const core::duration max_gap_limit = std::chrono::milliseconds{1500};
    /// Limit of the gap while no gap of the version is known.
    const core::duration initial_gap_limit = std::chrono::milliseconds{800};
    const core::duration min_first_token_limit = std::chrono::milliseconds{400};
    const core::duration max_first_token_limit = std::chrono::seconds{10};
    /// Limit of the first token while none of the version is known.
    const core::duration initial_first_token_limit = std::chrono::seconds{2};
    /// How long an engine may take to answer a probe.
    const core::duration probe_limit = std::chrono::milliseconds{700};
    /// How long a stream that is known to live may bring nothing more.
    const core::duration stall_limit = std::chrono::milliseconds{1500};

    auto operator<=>(const adaptive_timeout_settings&) const = default;
};

/// Learns limits from each version's own gaps, and from its times to the first token by length of
/// the prompt, queueing included. An attempt whose limit has passed is probed before it is given
/// up, so that a limit that is too short costs one small request.
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

    /// What is known of one version.
    struct version_latencies {
        duration_histogram token_gaps;
        core::duration gap_limit{};
        std::uint64_t gap_count = 0;
        /// By the binary logarithm of the prompt's length in words.
        std::map<int, duration_histogram> first_token_latencies;
    };

    /// The limit of the gap is worked out again after this many gaps.
    static constexpr std::uint64_t gaps_per_update = 32;

    const adaptive_timeout_settings settings_;
    std::map<version_key, version_latencies> versions_;

    [[nodiscard]] core::duration limit_from(core::duration observed, core::duration min_limit,
                                            core::duration max_limit) const;
};

} // namespace cyclamen::generation
