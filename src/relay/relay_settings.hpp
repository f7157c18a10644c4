#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "relay/entry_life.hpp"
#include "relay/member_register.hpp"
#include "relay/run_protection.hpp"
#include "routing/health_settings.hpp"

namespace cyclamen::relay {

/// How requests travel through targets.
struct request_settings {
    /// Part of a route's pause goal after which a silent stream's target is asked whether it lives;
    /// what is left of the goal must hold the question and the resume.
    const double pause_part = 0.4;
    /// Part of the pause goal that a target has to answer the question.
    const double question_part = 0.15;
    /// Part of the answer goal after which a target that has sent nothing is asked.
    const double first_answer_part = 0.35;
    /// Part of the answer goal after which a silent safe request goes to another target.
    const double safe_repeat_part = 0.8;
    /// How long the candidates for a request have to answer: two crossings between failure domains
    /// and the wait for a processor.
    const core::duration survey_limit = std::chrono::milliseconds{25};
    /// How long a request without a target waits before it looks again.
    const core::duration placement_pause = std::chrono::milliseconds{50};
    /// Part of the answer goal that a request may wait for its first target.
    const double placement_part = 0.3;
    /// Times that targets may reject one request because they are full: then the service is.
    const std::uint32_t most_rejections = 4;
    /// Offers of one request, with those that targets reject or don't receive: a failure domain
    /// whose engines have all started again under new names rejects one after the other.
    const std::uint32_t most_offers = 10;
    const protection_settings protection;
    /// What a refused caller is told to wait.
    const core::duration retry_after = std::chrono::milliseconds{300};

    auto operator<=>(const request_settings&) const = default;
};

/// How many requests may be sent to a second target, over the whole fleet.
struct retry_settings {
    /// Repeats for each request of a service.
    const double ratio = 0.5;
    /// Repeats beyond the ratio, for the whole fleet.
    const double slack = 100;
    /// Time over which both are counted.
    const core::duration window = std::chrono::seconds{10};
    /// Part of the fleet's budget that is used, since instances don't count for each other.
    const double used_part = 0.8;

    auto operator<=>(const retry_settings&) const = default;
};

/// How targets are compared.
struct placement_settings {
    /// Cost of a stream that runs on a target already, in prompt tokens that wait there.
    const double running_cost = 1500;
    /// Cost of a request that waits in an engine's queue: about a prompt.
    const double waiting_cost = 5000;
    /// Cost of a token in an engine's memory: a full engine preempts.
    const double memory_cost = 0.1;
    /// Engines that are asked for their load before a request is placed.
    const std::size_t survey_size = 3;
    /// Cost of each target between the preferred one and another.
    const double step_cost = 2500;
    /// Cost of a target in another failure domain: less than a step, it only breaks ties.
    const double domain_cost = 500;
    /// Targets of one service and failure domain whose loss makes the whole domain doubtful.
    const std::int64_t losses_to_doubt_domain = 2;
    /// How long these losses count; engines that crash together are back after about a second.
    const core::duration domain_doubt = std::chrono::milliseconds{1500};
    /// Health of targets: crashes are short and come to many targets at once, so that a target is
    /// avoided briefly and never for long.
    const routing::health_settings health{.suspect_time = std::chrono::milliseconds{1500},
                                          .base_ejection_time = std::chrono::seconds{2},
                                          .max_ejection_time = std::chrono::seconds{8},
                                          .ramp_time = std::chrono::seconds{1},
                                          .ramp_successes = 1,
                                          .unproven_ramp_time = std::chrono::seconds{4}};

    auto operator<=>(const placement_settings&) const = default;
};

/// Settings of the decisions of one instance.
struct relay_settings {
    const core::instance_name name;
    const core::failure_domain_name domain;
    const core::socket_address entry;
    const request_settings requests;
    const retry_settings retries;
    const placement_settings placement;
    const entry_life_settings life;
    const watch_settings watch;

    auto operator<=>(const relay_settings&) const = default;
};

} // namespace cyclamen::relay
