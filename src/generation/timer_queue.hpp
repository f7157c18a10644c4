#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "generation/generation_chart.hpp"

namespace cyclamen::generation {

/// The timers of all generations, earliest first. Owned by the generation manager.
class timer_queue {
  public:
    /// Names a timer: a generation has one a kind of event.
    using key = std::pair<core::generation_id, generation_event>;

    /// Starts a timer, or starts it again.
    void start(const key& timer, core::instant deadline);

    /// Stops a timer that may or may not run.
    void stop(const key& timer);

    /// @return the instant at which the next timer ends, empty where none runs
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// Takes out the next timer that has ended.
    /// @param now current instant
    /// @return the timer, empty where none has ended
    [[nodiscard]] std::optional<key> take_expired(core::instant now);

  private:
    std::map<key, core::instant> timers_;
    std::set<std::pair<core::instant, key>> deadlines_;
};

} // namespace cyclamen::generation
