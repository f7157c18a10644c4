#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::membership {

/// How an instance keeps track of the others.
struct membership_settings {
    /// Addresses of peers to begin with.
    const std::vector<core::socket_address> seeds;
    /// Time between two probes.
    const core::duration probe_period = std::chrono::milliseconds{500};
    /// An answer that takes longer is asked for through other instances too.
    const core::duration direct_timeout = std::chrono::milliseconds{300};
    /// An instance that has not answered after this is suspect.
    const core::duration probe_timeout = std::chrono::milliseconds{1000};
    /// A suspect that has not spoken up after this is held for gone.
    const core::duration suspicion_timeout = std::chrono::seconds{2};
    /// Instances that are asked to probe for this one.
    const std::size_t indirect_probers = 3;
    /// Time between two rounds in which changes are told.
    const core::duration update_period = std::chrono::milliseconds{100};
    /// Instances that are told in one round.
    const std::size_t update_fan_out = 3;
    /// Rounds beyond the logarithm of the size in which one change is told.
    const std::size_t extra_update_rounds = 2;
    /// Changes in one message.
    const std::size_t max_updates = 24;
    /// Time between two exchanges of all that is known.
    const core::duration exchange_period = std::chrono::seconds{30};
    /// Time between two attempts to reach a seed or an instance held for gone.
    const core::duration rejoin_period = std::chrono::seconds{2};
    /// Least time between two messages with all that is known to instances that return.
    const core::duration resync_interval = std::chrono::milliseconds{200};
    /// How long instances that are gone are remembered.
    const core::duration retention = std::chrono::hours{1};
    /// A longer time without a call means that this process was paused.
    const core::duration pause_threshold = std::chrono::milliseconds{1500};

    auto operator<=>(const membership_settings&) const = default;
};

} // namespace cyclamen::membership
