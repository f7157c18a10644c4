#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "core/text.hpp"

namespace spdlog::sinks {
class sink;
} // namespace spdlog::sinks

namespace cyclamen::core {

/// One key=value pair of a log line.
class log_field {
  public:
    /// @param key name of the field, in snake case with its unit (such as `resume_ms`)
    /// @param value text or number
    template <class Value>
    log_field(std::string_view key, const Value& value) : key_{key}, value_{concat(value)}
    {
    }

    [[nodiscard]] std::string_view key() const { return key_; }
    [[nodiscard]] const std::string& value() const { return value_; }

  private:
    std::string_view key_;
    std::string value_;
};

enum class log_level { debug, info, warning, error };

/// @param text debug, info, warning or error
/// @return the level of that name, info where there is none
[[nodiscard]] log_level parse_log_level(std::string_view text);

/// Sets the lowest level that is written and the start of every line.
/// @param lowest level below which events are left out
void set_log_level(log_level min_level);

/// Replaces where lines go. Called before the tasks of a process start.
void redirect_log(std::shared_ptr<spdlog::sinks::sink> sink);

/// Writes one event as one line of key=value pairs, to standard error unless redirected. Any thread
/// may call it.
/// @param level how much it matters
/// @param event name of the event, in snake case
/// @param fields what is known about it; values with spaces are quoted
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace cyclamen::core
