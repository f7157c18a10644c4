#pragma once

#include <compare>

#include "core/time.hpp"

namespace cyclamen::generation {

/// Time limits and bounds of checkpoints and takeovers.
struct checkpoint_settings {
    /// Interval at which tokens are sent to the holder if a caller streams them.
    const core::duration stream_flush_period = std::chrono::milliseconds{3};
    /// The same if all callers wait for the complete answer.
    const core::duration whole_flush_period = std::chrono::milliseconds{200};
    /// Interval at which an owner without new tokens sends an empty run to show that it is alive.
    const core::duration heartbeat_period = std::chrono::milliseconds{200};
    /// A generation whose owner has sent nothing for this long may be taken over.
    const core::duration owner_timeout = std::chrono::milliseconds{600};
    /// How long the owner waits for an acknowledgement before it tries another holder.
    const core::duration ack_timeout = std::chrono::milliseconds{150};
    /// How many holders are tried before a generation continues without a copy.
    const std::size_t max_holders = 3;
    /// How long a search waits for the replies of possible holders.
    const core::duration answer_limit = std::chrono::milliseconds{100};
    /// How many peers a search queries.
    const std::size_t max_queried_peers = 24;
    /// How long searches don't wait for a peer that failed to reply.
    const core::duration unresponsive_backoff = std::chrono::seconds{5};
    /// How long a holder keeps a checkpoint after the last message from its owner.
    const core::duration retention = std::chrono::seconds{120};

    auto operator<=>(const checkpoint_settings&) const = default;
};

} // namespace cyclamen::generation
