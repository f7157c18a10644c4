#pragma once

#include <vector>

#include "api/peer_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::instance {

/// Receives updates about the other instances. Called by membership_component on the decision task.
class members_listener {
  public:
    virtual ~members_listener() = default;

    /// Called when the view of the members has changed.
    /// @param others the other instances that are not gone
    /// @param now current instant
    virtual void on_members(const std::vector<api::member>& others, core::instant now) = 0;
};

} // namespace cyclamen::instance
