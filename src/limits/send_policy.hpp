#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::limits {

/// A call to a plain service that asks to be sent to a target.
struct send_request {
    /// Identifies the call at this instance.
    const std::uint64_t number;
    /// Rank of the call; 0 goes first.
    const std::uint32_t urgency;
    const core::instant accepted;
    /// Latest instant at which an answer meets the goal.
    const core::instant goal_at;
    /// Latest instant at which an answer is of use.
    const core::instant deadline;
    /// Targets that may be chosen, in order of preference; at least one.
    const std::vector<core::target_name> targets;

    auto operator<=>(const send_request&) const = default;
};

/// Whether a call is sent.
enum class send_verdict {
    send,
    /// The call waits at this instance and asks again.
    wait,
    /// There is no place for the call in time. It has not run.
    refuse,
};

/// Decision on a call that asks to be sent.
struct send_decision {
    const send_verdict verdict;
    /// Where to send it; empty unless it is sent.
    const core::target_name target;
    /// When a waiting call asks again.
    const core::instant ask_at;
    /// Delay after which there is a place for a refused call; zero unless it is refused.
    const core::duration retry_after;

    auto operator<=>(const send_decision&) const = default;
};

/// Decides how many calls this instance sends to the targets of one plain service, which are shared
/// with the other instances of the fleet. Called by the relay on the decision task. Reads no clock.
class send_policy {
  public:
    virtual ~send_policy() = default;

    /// @param request a call, which may have been told to wait before
    /// @return whether it is sent, and to which of its targets
    [[nodiscard]] virtual send_decision decide(const send_request& request, core::instant now) = 0;

    /// @return true if calls need a share; otherwise each is sent to the first of its targets
    [[nodiscard]] virtual bool limits_at(core::instant now) const = 0;
    /// @return calls a second that may be sent to a target while calls need a share, 0 if there is
    ///         no bound
    [[nodiscard]] virtual double rate_of(const core::target_name& target) const = 0;

    /// A call was sent to a target.
    virtual void on_sent(const core::target_name& target, core::instant now) = 0;
    /// A target has answered a call.
    /// @param goal target time of the call
    /// @param took time since the call was sent
    virtual void on_answered(const core::target_name& target, core::duration goal,
                             core::duration took, core::instant now) = 0;
    /// A target was full and has not run a call.
    virtual void on_rejected(const core::target_name& target, core::instant now) = 0;
    /// A target was lost with a call.
    virtual void on_lost(const core::target_name& target, core::instant now) = 0;
    /// A call no longer waits; ignored if it didn't.
    virtual void on_ended(std::uint64_t number) = 0;

    /// @param count instances that send to the same targets, including this one
    virtual void set_instances(std::size_t count, core::instant now) = 0;
    /// A target was listed.
    /// @param slots calls that it runs at the same time, 0 if unknown
    virtual void on_listed(const core::target_name& target, std::uint32_t slots) = 0;
    /// A target is no longer listed.
    virtual void on_forgotten(const core::target_name& target) = 0;
};

} // namespace cyclamen::limits
