#include "routing/stream_pace.hpp"

#include <algorithm>

namespace cyclamen::routing {

std::optional<core::duration> stream_pace::add(std::uint32_t events, core::instant now)
{
    if (!span_start_.has_value()) {
        span_start_ = now;
        return std::nullopt;
    }
    events_ += events;
    if (events_ < span_events) {
        return std::nullopt;
    }
    taken_.at(count_++) = (now - *span_start_) / events_;
    span_start_ = now;
    events_ = 0;
    if (count_ < spans) {
        return std::nullopt;
    }
    count_ = 0;
    const auto quartile = taken_.begin() + spans / 4;
    std::nth_element(taken_.begin(), quartile, taken_.end());
    return *quartile;
}

} // namespace cyclamen::routing
