#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "generation/generation_chart.hpp"

namespace cyclamen::generation {

/// The timers of all generations, ordered by deadline. Owned by the generation manager.
class timer_queue {
  public:
    /// Identifies a timer; a generation has at most one for each event.
    using key = std::pair<core::generation_id, generation_event>;

    /// Starts or restarts a timer.
    void start(const key& timer, core::instant deadline);

    /// Stops a timer, if it runs.
    void stop(const key& timer);

    /// @return the earliest deadline, empty if no timer runs
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// Removes the next expired timer.
    /// @param now current instant
    /// @return the timer, empty if none has expired
    [[nodiscard]] std::optional<key> take_expired(core::instant now);

  private:
    std::map<key, core::instant> timers_;
    std::set<std::pair<core::instant, key>> deadlines_;
};

} // namespace cyclamen::generation
