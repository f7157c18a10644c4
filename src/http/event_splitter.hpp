#pragma once

#include <string>
#include <string_view>

namespace cyclamen::http {

/// Splits a byte stream into whole server-sent events without decoding what they hold. One object a
/// stream.
class event_splitter {
  public:
    /// Adds bytes.
    /// @param bytes next part of the stream
    /// @return the events that are whole now, as they arrived; empty where none is
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// @return true where a part of an event waits for the rest
    [[nodiscard]] bool has_partial() const { return !pending_.empty(); }

  private:
    std::string pending_;
};

/// @param events whole events
/// @return the id of the last one that has an id, empty where none has
[[nodiscard]] std::string_view last_event_id(std::string_view events);

} // namespace cyclamen::http
