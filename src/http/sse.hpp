#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace cyclamen::http {

/// One server-sent event.
struct sse_event {
    const std::string id;
    const std::string data;

    auto operator<=>(const sse_event&) const = default;
};

/// @return the encoded event
[[nodiscard]] std::string encode_sse(const sse_event& event);

/// Decodes a byte stream of server-sent events. One object per stream.
class sse_reader {
  public:
    /// Adds bytes and reports the events that they complete.
    /// @param bytes next part of the stream
    /// @param sink called once per event, in order
    void feed(std::string_view bytes, const std::function<void(const sse_event&)>& sink);

  private:
    std::string pending_;
    std::string id_;
    std::string data_;

    void read_line(std::string_view line, const std::function<void(const sse_event&)>& sink);
};

} // namespace cyclamen::http
