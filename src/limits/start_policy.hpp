#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/time.hpp"
#include "limits/engine_load.hpp"
#include "limits/urgency.hpp"

namespace cyclamen::limits {

/// A new request that asks to start on an engine.
struct start_request {
    const std::uint64_t prompt_tokens;
    const std::uint64_t max_output_tokens;
    /// Target time until the first event, from the moment at which the request was accepted.
    const core::duration goal;
    /// Time since then.
    const core::duration waited;
    /// True if the request may wait for another engine.
    const bool may_wait;
    /// Spreads the returns of refused callers; evenly distributed over all values.
    const std::uint64_t spread;
    /// Order in which it is served; empty if requests of the service don't differ.
    const std::optional<urgency_rank> urgency = {};

    auto operator<=>(const start_request&) const = default;
};

/// Whether a request starts.
enum class start_verdict {
    start,
    /// The request looks for another engine a little later.
    wait,
    /// The request would miss its goal on any engine that could be asked. It has not run.
    refuse,
};

/// Decision on a request that asks to start.
struct start_decision {
    const start_verdict verdict;
    /// Delay after which a refused request may succeed; zero unless it is refused.
    const core::duration retry_after;

    auto operator<=>(const start_decision&) const = default;
};

/// A request that an engine has begun to answer.
struct start_observation {
    const std::uint64_t prompt_tokens;
    /// Load of the engine when the request was placed.
    const engine_load load;
    /// Time from the placement to the first event.
    const core::duration took;

    auto operator<=>(const start_observation&) const = default;
};

/// Decides whether new requests start on an engine, so that its queue holds no more work than can
/// be answered in time. Resumed requests are not subject to it. Called by the relay on the decision
/// task.
class start_policy {
  public:
    virtual ~start_policy() = default;

    /// @param request the request
    /// @param load the engine that was selected for it
    /// @return whether it starts there
    [[nodiscard]] virtual start_decision decide(const start_request& request,
                                                const engine_load& load) const = 0;

    /// @param request a request that starts on another engine
    /// @param load the engine that may receive a copy of the request's memory
    /// @return true if the copy leaves enough memory for requests that run there
    [[nodiscard]] virtual bool has_room_for_copy(const start_request& request,
                                                 const engine_load& load) const = 0;

    /// Learns which requests arrive; called once a request.
    virtual void on_arrival(const start_request& /*request*/) {}

    /// Learns from the load that was reported for a request, before decide().
    virtual void on_asked(const start_request& /*request*/, const engine_load& /*load*/) {}

    /// Learns how long engines take to the first event.
    virtual void on_first_event(const start_observation& seen) = 0;

    /// Learns how long requests run after their first event.
    virtual void on_finished(core::duration run_time) = 0;
};

} // namespace cyclamen::limits
