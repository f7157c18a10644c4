#pragma once

#include <optional>
#include <set>
#include <vector>

#include "api/checkpoint_messages.hpp"

namespace cyclamen::generation {

/// An instance that can hold checkpoints.
struct checkpoint_peer {
    const api::checkpoint_party party;
    const core::failure_domain_name failure_domain;

    auto operator<=>(const checkpoint_peer&) const = default;
};

/// The other serving instances that this one knows, as an immutable value.
class peer_directory {
  public:
    peer_directory() = default;

    /// @param own this instance
    /// @param peers the other instances
    peer_directory(checkpoint_peer own, std::vector<checkpoint_peer> peers);

    /// @param key identifies a generation
    /// @return the other instances in order of preference as holders of its checkpoint: those
    ///         outside the failure domain of this instance first, each group in an order that is
    ///         the same on all instances
    [[nodiscard]] std::vector<api::checkpoint_party>
    holders_of(const api::checkpoint_key& key) const;

    /// @return all other instances
    [[nodiscard]] const std::vector<checkpoint_peer>& peers() const { return peers_; }

    bool operator==(const peer_directory&) const = default;

  private:
    core::failure_domain_name failure_domain_;
    std::vector<checkpoint_peer> peers_;
};

} // namespace cyclamen::generation
