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
    /// Number of the last event that was received, empty if there is none or its id is no number.
    const std::optional<std::uint64_t> last_event;
    /// Time since the attempt was opened.
    const core::duration attempt_age;
    /// Another incarnation of the target answers than the one that received the attempt.
    const bool is_new_incarnation;
    /// Requests in the target's queue, where a preempted run may be.
    const std::uint32_t waiting;
    const run_progress progress;

    auto operator<=>(const silence_evidence&) const = default;
};

/// Why an attempt receives nothing.
enum class silence_cause {
    /// The target may have made nothing since.
    slow_target,
    /// What the target makes no longer arrives, or it no longer has the run.
    lost_channel,
};

/// Decides why an attempt receives nothing.
class silence_policy {
  public:
    virtual ~silence_policy() = default;

    [[nodiscard]] virtual silence_cause explain(const silence_evidence& evidence) const = 0;
};

/// Takes any answer of a target as a sign that the attempt goes on; the baseline in comparisons.
class trusting_silence_policy final : public silence_policy {
  public:
    [[nodiscard]] silence_cause explain(const silence_evidence& /*evidence*/) const override
    {
        return silence_cause::slow_target;
    }
};

/// Compares what the target reports of the run with what was received.
class progress_silence_policy final : public silence_policy {
  public:
    [[nodiscard]] silence_cause explain(const silence_evidence& evidence) const override;
};

} // namespace cyclamen::relay
