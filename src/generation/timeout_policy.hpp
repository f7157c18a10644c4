#pragma once

#include <cstdint>

#include "core/time.hpp"
#include "generation/outcome_listener.hpp"

namespace cyclamen::generation {

/// What a time limit is asked for.
struct attempt_workload {
    const core::service_name& service;
    const core::version_name& version;
    /// Length of what the engine has to read first.
    const std::uint64_t prompt_words;
};

/// Decides how long silence of an attempt is taken as usual. It hears all outcomes, so that it can
/// learn from them. Called by the generation manager on the decision task.
class timeout_policy : public outcome_listener {
  public:
    /// @return how long an attempt may take to bring its first token
    [[nodiscard]] virtual core::duration first_token_limit(const attempt_workload& work) const = 0;

    /// @return how long the gap between two runs of tokens of an attempt may be
    [[nodiscard]] virtual core::duration token_gap_limit(const attempt_workload& work) const = 0;

    /// @return how long an engine may take to say whether it still has a stream
    [[nodiscard]] virtual core::duration probe_limit() const = 0;

    /// @param has_token whether the attempt has brought a token
    /// @return how long an engine that has shown that it has the stream may bring nothing
    [[nodiscard]] virtual core::duration stall_limit(bool has_token) const = 0;

    /// @return true where the engine is asked over a new connection before an attempt is given up
    [[nodiscard]] virtual bool probes() const = 0;
};

} // namespace cyclamen::generation
