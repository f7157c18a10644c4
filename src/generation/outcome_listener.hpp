#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/label_set.hpp"

namespace cyclamen::generation {

/// Description of an attempt, for listeners that evaluate versions, targets and accounts.
struct attempt_subject {
    const core::service_name service;
    const core::version_name version;
    const core::target_name target;
    /// Route by which the version is used: service and form of the answer, such as
    /// `notices/stream`.
    const std::string route;
    const core::account_name account;
    const model::label_set account_labels;
    /// True if an earlier attempt of the generation was lost.
    const bool is_resume;
    /// Length of the text that the engine reads first: the prompt and the tokens produced before.
    const std::uint64_t prompt_words;

    bool operator==(const attempt_subject&) const = default;
};

/// Why an attempt was lost.
enum class loss_cause {
    /// No connection could be established.
    not_connected,
    /// The connection was closed before the answer was complete.
    connection_lost,
    /// The engine answered with an error.
    engine_error,
    /// The engine was busy and rejected the request.
    engine_busy,
    /// No token arrived within the time limit, and the engine did not confirm that the stream is
    /// alive.
    unresponsive,
};

/// How an attempt was lost.
struct attempt_loss {
    const loss_cause cause;
    /// True if the request is known to crash targets, so that the loss says nothing about the
    /// version.
    const bool poison;
    /// Time since the attempt was opened.
    const core::duration elapsed;

    auto operator<=>(const attempt_loss&) const = default;
};

/// Receives the outcomes of attempts. Called by the generation manager on the decision task.
class outcome_listener {
  public:
    virtual ~outcome_listener() = default;

    /// An attempt was sent to its target.
    virtual void on_opened(const attempt_subject& /*subject*/, core::instant /*now*/) {}

    /// The first token of an attempt has arrived.
    /// @param subject the attempt
    /// @param latency time since the attempt was opened
    /// @param now current instant
    virtual void on_first_token(const attempt_subject& subject, core::duration latency,
                                core::instant now) = 0;

    /// A request was refused before any attempt.
    virtual void on_refused(const core::account_name& /*account*/,
                            const core::service_name& /*service*/, core::instant /*now*/)
    {
    }

    /// A further run of tokens of an attempt has arrived.
    /// @param subject the attempt
    /// @param gap time since the previous run
    /// @param now current instant
    virtual void on_gap(const attempt_subject& /*subject*/, core::duration /*gap*/,
                        core::instant /*now*/)
    {
    }

    /// An attempt produced all remaining tokens.
    /// @param subject the attempt
    /// @param tokens how many tokens it produced
    /// @param latency time since the attempt was opened
    /// @param now current instant
    virtual void on_finished(const attempt_subject& subject, std::uint64_t tokens,
                             core::duration latency, core::instant now) = 0;

    /// An attempt was lost.
    virtual void on_lost(const attempt_subject& subject, const attempt_loss& loss,
                         core::instant now) = 0;

    /// A loss that on_lost() reported without `poison` was caused by a request that has turned out
    /// to crash targets, and must not count against the version. Called once for each such loss.
    virtual void on_loss_excused(const attempt_subject& subject, core::instant now) = 0;
};

} // namespace cyclamen::generation
