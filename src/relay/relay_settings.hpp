#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "relay/crash_evidence.hpp"
#include "relay/entry_lifecycle.hpp"
#include "relay/member_registry.hpp"
#include "relay/run_protection.hpp"
#include "relay/version_rollout.hpp"
#include "routing/health_settings.hpp"

namespace cyclamen::relay {

/// Timeouts and limits of one request.
struct request_settings {
    /// Fraction of a route's pause goal without an event after which a stream's target is probed.
    /// The rest of the goal must cover the probe and the resume at another target.
    const double pause_limit_fraction = 0.4;
    /// Fraction of the pause goal within which a target has to answer the probe.
    const double question_limit_fraction = 0.15;
    /// Fraction of the answer goal after which an engine that has sent nothing is probed.
    const double first_answer_limit_fraction = 0.35;
    /// Fraction of the answer goal after which an unanswered safe request to a plain service is
    /// retried on another target.
    const double safe_retry_fraction = 0.8;
    /// Time limit for candidates to report their load: covers one round trip between failure
    /// domains and scheduling delay.
    const core::duration survey_limit = std::chrono::milliseconds{25};
    /// Surveys without an answer, each with twice the time limit of the one before, after which a
    /// request is placed without.
    const std::uint32_t max_unanswered_surveys = 3;
    /// A target that is lost within this time after it began to answer a request may have crashed
    /// because of it.
    const core::duration crash_window = std::chrono::milliseconds{300};
    /// Delay before a request without a target looks for one again.
    const core::duration placement_pause = std::chrono::milliseconds{50};
    /// Delay before a request for which no engine has room asks others: as old as their reports.
    const core::duration room_pause = std::chrono::milliseconds{100};
    /// Delay before a stream that has begun and that all targets rejected is offered again.
    const core::duration offer_pause = std::chrono::milliseconds{300};
    /// Fraction of the answer goal that a request may wait for its first target.
    const double placement_wait_fraction = 0.3;
    /// Rejections by full targets after which the whole service counts as full.
    const std::uint32_t max_rejections = 4;
    /// Attempts of one request, including those that a target rejected or never received. It
    /// exceeds max_rejections because after a restart of a whole failure domain its engines have
    /// new names and reject one attempt after the other.
    const std::uint32_t max_offers = 10;
    const protection_settings protection;
    /// Retry delay sent to a refused caller.
    const core::duration retry_after = std::chrono::milliseconds{300};

    auto operator<=>(const request_settings&) const = default;
};

/// Retry budget: how many requests may be sent to another target, over the whole fleet.
struct retry_settings {
    /// Retries allowed per request of a service.
    const double ratio = 0.5;
    /// Retries allowed beyond the ratio, for the whole fleet.
    const double slack = 100;
    /// Sliding window over which requests and retries are counted.
    const core::duration window = std::chrono::seconds{10};
    /// Fraction of the fleet's budget that is used; the margin is needed because instances don't
    /// see each other's retries.
    const double used_fraction = 0.8;

    auto operator<=>(const retry_settings&) const = default;
};

/// Costs by which targets are compared, and when they are avoided. Costs are in prompt tokens.
struct placement_settings {
    /// Cost of a stream that already runs on the target, in waiting prompt tokens.
    const double running_cost = 1500;
    /// Cost of a request in an engine's queue: about the length of a prompt.
    const double waiting_cost = 5000;
    /// Cost of a token in an engine's memory; an engine with full memory preempts requests.
    const double memory_cost = 0.1;
    /// Cost of each request beyond the number that the target is known to take well: as much as one
    /// that waits.
    const double excess_cost = 5000;
    /// Number of engines that are asked for their load before a request is placed.
    const std::size_t survey_size = 3;
    /// Cost of each position between the preferred target and the candidate.
    const double step_cost = 2500;
    /// Cost of a target in another failure domain. Less than step_cost, so that it only breaks
    /// ties.
    const double cross_domain_cost = 500;
    /// Number of lost targets of one service in a failure domain that makes the domain suspect.
    const std::int64_t losses_to_suspect_domain = 2;
    /// How long such a loss counts; engines that crash together are back after about a second.
    const core::duration domain_suspicion = std::chrono::milliseconds{1500};
    /// Health of targets. Crashes are short and affect many targets at once, so a target is
    /// avoided only briefly.
    const routing::health_settings health{.suspect_time = std::chrono::milliseconds{1500},
                                          .base_ejection_time = std::chrono::seconds{2},
                                          .max_ejection_time = std::chrono::seconds{8},
                                          .ramp_time = std::chrono::seconds{1},
                                          .ramp_successes = 1,
                                          .unproven_ramp_time = std::chrono::seconds{4}};

    auto operator<=>(const placement_settings&) const = default;
};

/// Settings of the decision task of one instance.
struct relay_settings {
    const core::instance_name name;
    const core::failure_domain_name domain;
    const core::socket_address entry;
    const request_settings requests;
    const retry_settings retries;
    const placement_settings placement;
    const entry_lifecycle_settings lifecycle;
    const watch_settings watch;
    const crash_evidence_settings crashes;
    const rollout_settings rollouts;

    auto operator<=>(const relay_settings&) const = default;
};

} // namespace cyclamen::relay
