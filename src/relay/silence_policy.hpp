#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/time.hpp"
#include "relay/run_progress.hpp"

namespace cyclamen::relay {

/// What is known of an attempt that receives nothing, although its target answers over a new
/// connection.
struct silence_evidence {
    /// Number of the last event that was received, 0 if there is none; empty if its id is no
    /// number.
    const std::optional<std::uint64_t> last_event;
    /// Time since the first event of the attempt, empty if none has arrived. Targets list the runs
    /// that have made one.
    const std::optional<core::duration> time_since_first;
    /// Another incarnation of the target answers than the one that received the attempt.
    const bool is_new_incarnation;
    /// Requests in the target's queue, where a preempted run may be.
    const std::uint32_t waiting;
    const run_progress progress;
    /// Time that the target took to answer.
    const core::duration answer_delay;

    auto operator<=>(const silence_evidence&) const = default;
};

/// Why an attempt receives nothing.
enum class silence_cause {
    /// The target may have made nothing since.
    slow_target,
    /// What the target makes no longer arrives, or it no longer has the run.
    lost_channel,
};

/// Decides why an attempt receives nothing, and how long it stays with a silent target.
class silence_policy {
  public:
    virtual ~silence_policy() = default;

    /// @param evidence what is known of the attempt
    [[nodiscard]] virtual silence_cause explain(const silence_evidence& evidence) const = 0;

    /// @param pause_goal longest pause between two events that the route asks for
    /// @return time for which a target whose machine accepts connections may answer nothing
    [[nodiscard]] virtual core::duration patience(core::duration pause_goal) const = 0;
};

/// Takes any answer of a target as a sign that the attempt goes on, and leaves a silent one in time
/// for the pause goal; the baseline in comparisons.
class trusting_silence_policy final : public silence_policy {
  public:
    [[nodiscard]] silence_cause explain(const silence_evidence& /*evidence*/) const override
    {
        return silence_cause::slow_target;
    }
    [[nodiscard]] core::duration patience(core::duration pause_goal) const override
    {
        return core::fraction_of(pause_goal, patience_fraction);
    }

  private:
    static constexpr double patience_fraction = 0.15;
};

/// Compares what the target reports of the run with what was received, and waits for a process that
/// is paused: it goes on with its runs, so that another run of the request would be a second one.
class progress_silence_policy final : public silence_policy {
  public:
    [[nodiscard]] silence_cause explain(const silence_evidence& evidence) const override;
    [[nodiscard]] core::duration patience(core::duration /*pause_goal*/) const override
    {
        return max_process_pause;
    }

  private:
    /// Time for which the process of a sound target may be paused.
    static constexpr core::duration max_process_pause = std::chrono::seconds{1};
};

} // namespace cyclamen::relay
