#pragma once

#include <string>
#include <string_view>

namespace cyclamen::http {

/// Splits a byte stream into complete server-sent events without decoding them. One object per
/// stream.
class event_splitter {
  public:
    /// Adds bytes.
    /// @param bytes next part of the stream
    /// @return the events that are now complete, byte for byte; empty if there are none
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// @return true if an incomplete event is longer than any event may be; nothing more is
    /// buffered
    [[nodiscard]] bool is_too_long() const { return pending_.size() > max_event_bytes; }

    /// @return true if an incomplete event is buffered
    [[nodiscard]] bool has_partial() const { return !pending_.empty(); }

    /// @return size of the incomplete event
    [[nodiscard]] std::size_t partial_bytes() const { return pending_.size(); }

  private:
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    std::string pending_;
};

/// @param events complete events
/// @return the id of the first event that has one, empty if none has
[[nodiscard]] std::string_view first_event_id(std::string_view events);

/// @param events complete events
/// @return the id of the last event that has one, empty if none has
[[nodiscard]] std::string_view last_event_id(std::string_view events);

} // namespace cyclamen::http
