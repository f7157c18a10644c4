#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.hpp"

namespace cyclamen::routing {

/// Measures the time per event of one stream. An engine that reads the prompt of another request
/// pauses the streams that it runs, so the lower quartile over short spans is taken.
class stream_pace {
  public:
    /// @param events number of events that arrived together
    /// @return time per event once enough have arrived since the last result
    [[nodiscard]] std::optional<core::duration> add(std::uint32_t events, core::instant now);

  private:
    /// Events of a span: enough that delays of the network and of the scheduler average out.
    static constexpr std::uint32_t span_events = 5;
    /// Spans that are compared; about two seconds of a usual stream.
    static constexpr std::size_t spans = 8;

    std::array<core::duration, spans> taken_{};
    std::size_t count_ = 0;
    std::uint32_t events_ = 0;
    std::optional<core::instant> span_start_;
};

} // namespace cyclamen::routing
