#pragma once

#include <cstdint>

#include "core/time.hpp"
#include "generation/outcome_listener.hpp"

namespace cyclamen::generation {

/// Properties of an attempt on which its time limits depend.
struct attempt_workload {
    const core::service_name& service;
    const core::version_name& version;
    /// Length of the text that the engine reads first.
    const std::uint64_t prompt_words;
};

/// Sets how long an attempt may produce no token. Receives all outcomes, so that it can adapt to
/// them. Called by the generation manager on the decision task.
class timeout_policy : public outcome_listener {
  public:
    /// @return limit of the time to first token
    [[nodiscard]] virtual core::duration first_token_limit(const attempt_workload& work) const = 0;

    /// @return limit of the gap between two runs of tokens of an attempt
    [[nodiscard]] virtual core::duration token_gap_limit(const attempt_workload& work) const = 0;

    /// @return time within which an engine must reply whether it still has a stream
    [[nodiscard]] virtual core::duration probe_limit() const = 0;

    /// @param has_token whether the attempt has produced a token
    /// @return how long an engine that has confirmed the stream may produce no token
    [[nodiscard]] virtual core::duration stall_limit(bool has_token) const = 0;

    /// @return true if the engine is probed over a new connection before an attempt is abandoned
    [[nodiscard]] virtual bool probes() const = 0;
};

} // namespace cyclamen::generation
