#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::standin {

/// Settings of a stand-in engine.
struct engine_settings {
    const core::socket_address listen;
    const std::string version;
    /// Base gap between two tokens of a stream.
    const core::duration token_gap = std::chrono::milliseconds{10};
    /// Time that each running stream adds to the gap.
    const core::duration gap_per_stream = std::chrono::microseconds{100};
    /// Prefill time of one prompt word.
    const core::duration prefill_per_word = std::chrono::microseconds{20};
    /// Variant of the tokens of the first stream; distinguishes attempts at this engine from those
    /// at other engines.
    const std::uint32_t variant_seed = 0;
    /// Network delay that is simulated for the tokens of a response.
    const core::duration link_delay = core::duration::zero();

    auto operator<=>(const engine_settings&) const = default;
};

} // namespace cyclamen::standin
