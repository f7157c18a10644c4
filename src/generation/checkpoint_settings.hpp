#pragma once

#include <compare>

#include "core/time.hpp"

namespace cyclamen::generation {

/// Limits of checkpoints and takeovers.
struct checkpoint_settings {
    /// How long tokens for streaming callers are gathered before they are sent to the holder.
    const core::duration stream_flush_period = std::chrono::milliseconds{3};
    /// The same where all callers wait for the whole answer.
    const core::duration whole_flush_period = std::chrono::milliseconds{200};
    /// How often an owner that has no token to send says that it goes on.
    const core::duration heartbeat_period = std::chrono::milliseconds{200};
    /// An owner that says nothing for longer may be succeeded.
    const core::duration owner_timeout = std::chrono::milliseconds{600};
    /// How long a holder may take to answer before another one is tried.
    const core::duration ack_timeout = std::chrono::milliseconds{150};
    /// How many holders are tried before an answer goes on without a copy.
    const std::size_t max_holders = 3;
    /// How long a successor waits for those that may hold a generation.
    const core::duration answer_limit = std::chrono::milliseconds{100};
    /// How many peers a successor asks.
    const std::size_t max_queried_peers = 24;
    /// How long a peer that did not answer isn't waited for.
    const core::duration unresponsive_backoff = std::chrono::seconds{5};
    /// How long a holder keeps what its owner says nothing more about.
    const core::duration retention = std::chrono::seconds{120};

    auto operator<=>(const checkpoint_settings&) const = default;
};

} // namespace cyclamen::generation
