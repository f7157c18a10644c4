#pragma once

#include <optional>
#include <string>

#include "rollout/evidence.hpp"

namespace cyclamen::rollout {

/// Limits of the judgement.
struct judgement_settings {
    /// Probability that a good version is ever taken back, over all tests of a rollout together.
    double false_alarm_rate = 0.01;
    /// Odds ratio of failures or slow answers up to which the versions count as equal.
    double tolerance = 1.5;
    /// E-value from which on a version no longer counts as proven, even if it isn't taken back yet.
    double suspicion = 5;
    /// Requests of each stratum that the new version must have served before it counts as proven.
    std::uint64_t proof_requests = 100;
    /// Time that the new version must have served traffic before it counts as proven.
    core::duration min_exposure_time = std::chrono::minutes{5};

    auto operator<=>(const judgement_settings&) const = default;
};

/// Why a version should be taken back.
struct finding {
    const api::veto_reason reason;
    /// The evidence as text, for the report.
    const std::string evidence;

    auto operator<=>(const finding&) const = default;
};

/// Assessment of the new version of a rollout by the evidence.
struct judgement {
    /// Combined e-value of all tests of the hypothesis "the new version is worse".
    const double e_value;
    /// Set if the version should be taken back.
    const std::optional<finding> fault;
    /// True if the version has served enough traffic for long enough without suspicion.
    const bool proven;
    /// Number of requests that the new version has served.
    const std::uint64_t requests;

    auto operator<=>(const judgement&) const = default;
};

/// Compares the new version with the old one in the same windows, by stratum. A pure function.
/// @param settings limits
/// @param rollout key of the rollout start to judge
/// @param observed merged evidence
/// @param now wall-clock time
/// @return the judgement
[[nodiscard]] judgement judge(const judgement_settings& settings, const model::rollout_key& rollout,
                              const evidence& observed, core::wall_time now);

} // namespace cyclamen::rollout
