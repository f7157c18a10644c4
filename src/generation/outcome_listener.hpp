#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/label_set.hpp"

namespace cyclamen::generation {

/// What an attempt was about, for those who judge versions, targets and accounts.
struct attempt_subject {
    const core::service_name service;
    const core::version_name version;
    const core::target_name target;
    /// Way into the version: service and form of the answer, such as `notices/stream`.
    const std::string route;
    const core::account_name account;
    const model::label_set account_labels;
    /// True where an earlier attempt of the generation was lost.
    const bool is_resume;
    /// Length of what the engine has to read: the prompt with the tokens produced before.
    const std::uint64_t prompt_words;

    bool operator==(const attempt_subject&) const = default;
};

/// Why an attempt brought no more tokens.
enum class loss_cause {
    /// No connection could be made.
    not_connected,
    /// The connection ended before the answer did.
    connection_lost,
    /// The engine answered with an error.
    engine_error,
    /// The engine refused work for now.
    engine_busy,
    /// No token came in time, and the engine did not show that the stream lives.
    unresponsive,
};

/// How an attempt was lost.
struct attempt_loss {
    const loss_cause cause;
    /// True where the request is known to crash targets: it says nothing about the version.
    const bool poison;
    /// Time since the attempt was opened.
    const core::duration elapsed;

    auto operator<=>(const attempt_loss&) const = default;
};

/// Hears how attempts go. Called by the generation manager on the decision task.
class outcome_listener {
  public:
    virtual ~outcome_listener() = default;

    /// An attempt was sent to its target.
    virtual void on_opened(const attempt_subject& /*subject*/, core::instant /*now*/) {}

    /// The first token of an attempt has come.
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

    /// A further run of tokens of an attempt has come.
    /// @param subject the attempt
    /// @param gap time since the run before
    /// @param now current instant
    virtual void on_gap(const attempt_subject& /*subject*/, core::duration /*gap*/,
                        core::instant /*now*/)
    {
    }

    /// An attempt brought all tokens that were left.
    /// @param subject the attempt
    /// @param tokens how many tokens it brought
    /// @param latency time since the attempt was opened
    /// @param now current instant
    virtual void on_finished(const attempt_subject& subject, std::uint64_t tokens,
                             core::duration latency, core::instant now) = 0;

    /// An attempt was lost.
    virtual void on_lost(const attempt_subject& subject, const attempt_loss& loss,
                         core::instant now) = 0;

    /// A loss that on_lost() told without the mark `poison` came from a request that has turned
    /// out to crash targets: it is not to count against the version. Called once for each such
    /// loss.
    virtual void on_loss_excused(const attempt_subject& subject, core::instant now) = 0;
};

} // namespace cyclamen::generation
