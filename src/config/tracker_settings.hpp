#pragma once

#include <compare>
#include <cstddef>

#include "core/time.hpp"

namespace cyclamen::config {

/// How an instance keeps up with the accepted configuration.
struct tracker_settings {
    /// Knowledge that is older is renewed from the table, unless a peer renews it first.
    const core::duration refresh_after = std::chrono::milliseconds{2000};
    /// Instances differ in that by up to this, so that few read and the others hear from them.
    const core::duration refresh_jitter = std::chrono::milliseconds{1500};
    /// Time between two reads where the first got no answer.
    const core::duration read_interval = std::chrono::milliseconds{1000};
    /// A read without an answer is given up after this.
    const core::duration read_timeout = std::chrono::milliseconds{3000};
    /// Knowledge that is older proves nothing: the configuration counts as not in force.
    const core::duration max_verification_age = std::chrono::seconds{10};
    /// A peer that does not send a configuration in this time is passed over.
    const core::duration copy_timeout = std::chrono::milliseconds{500};
    /// After a pause new work waits at most this long for fresh knowledge.
    const core::duration max_hold_time = std::chrono::seconds{2};
    /// Peers that are told of a new revision.
    const std::size_t peer_fan_out = 4;

    auto operator<=>(const tracker_settings&) const = default;
};

} // namespace cyclamen::config
