#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen::chart {

/// Index of an event, guard, action or timeout in the vocabulary of a chart. Code casts it to and
/// from its own enumerations, so the names must be in the order of the enumerators.
using symbol = std::size_t;

/// The names that code binds to a chart. Loading a chart fails if it uses any other name.
class vocabulary {
  public:
    /// @param events names of the events that code raises
    /// @param guards names of the conditions that code evaluates
    /// @param actions names of the actions that code performs
    /// @param timeouts names of the timeouts whose durations code supplies
    vocabulary(std::vector<std::string> events, std::vector<std::string> guards,
               std::vector<std::string> actions, std::vector<std::string> timeouts)
        : events_{std::move(events)}, guards_{std::move(guards)}, actions_{std::move(actions)},
          timeouts_{std::move(timeouts)}
    {
    }

    [[nodiscard]] const std::vector<std::string>& events() const { return events_; }
    [[nodiscard]] const std::vector<std::string>& guards() const { return guards_; }
    [[nodiscard]] const std::vector<std::string>& actions() const { return actions_; }
    [[nodiscard]] const std::vector<std::string>& timeouts() const { return timeouts_; }

    bool operator==(const vocabulary&) const = default;

  private:
    std::vector<std::string> events_;
    std::vector<std::string> guards_;
    std::vector<std::string> actions_;
    std::vector<std::string> timeouts_;
};

/// @param names list to search
/// @param text name to find
/// @return its index, empty if it isn't in the list
[[nodiscard]] std::optional<symbol> find_symbol(std::span<const std::string> names,
                                                std::string_view text);

} // namespace cyclamen::chart
