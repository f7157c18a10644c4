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
    /// @param key name of the field, in snake case with its unit (such as `resume_ms`); must
    /// outlive the field
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
/// @return the level of that name; info for any other text
[[nodiscard]] log_level parse_log_level(std::string_view text);

/// Sets the minimum level of the events that are logged.
/// @param min_level events below this level are omitted
void set_log_level(log_level min_level);

/// Replaces the destination of log lines. Called before the tasks of a process start.
void redirect_log(std::shared_ptr<spdlog::sinks::sink> sink);

/// Logs an event as one line of key=value pairs, to standard error unless redirected. Thread-safe.
/// @param level severity of the event
/// @param event name of the event, in snake case
/// @param fields details of the event; values with spaces, quotes or equals signs are quoted
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace cyclamen::core
