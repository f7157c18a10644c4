#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::membership {

/// Periods, timeouts and limits of membership.
struct membership_settings {
    /// Peer addresses to contact at the start.
    const std::vector<core::socket_address> seeds;
    /// Time between two probes.
    const core::duration probe_period = std::chrono::milliseconds{500};
    /// Without an answer after this time, other instances are asked to probe as well.
    const core::duration direct_timeout = std::chrono::milliseconds{300};
    /// Without an answer after this time, direct or indirect, the instance becomes suspect.
    const core::duration probe_timeout = std::chrono::milliseconds{1000};
    /// A suspect that has not refuted the suspicion after this time is declared gone.
    const core::duration suspicion_timeout = std::chrono::seconds{2};
    /// Number of instances asked to probe on behalf of this one.
    const std::size_t indirect_probers = 3;
    /// Time between two rounds of sending changes.
    const core::duration update_period = std::chrono::milliseconds{100};
    /// Number of instances that receive the changes of one round.
    const std::size_t update_fan_out = 3;
    /// Rounds in which a change is sent, in addition to the logarithm of the number of instances.
    const std::size_t extra_update_rounds = 2;
    /// Largest number of changes in one message.
    const std::size_t max_updates = 24;
    /// Time between two exchanges of the full state.
    const core::duration exchange_period = std::chrono::seconds{30};
    /// Time between two attempts to reach a seed or an instance that was declared gone.
    const core::duration rejoin_period = std::chrono::seconds{2};
    /// Minimum time between two messages that send the full state to returning instances.
    const core::duration resync_interval = std::chrono::milliseconds{200};
    /// How long an instance that is gone stays in the table.
    const core::duration retention = std::chrono::hours{1};
    /// A longer gap between two calls means that this process was paused.
    const core::duration pause_threshold = std::chrono::milliseconds{1500};

    auto operator<=>(const membership_settings&) const = default;
};

} // namespace cyclamen::membership
