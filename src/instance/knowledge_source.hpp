#pragma once

#include <optional>

#include "api/peer_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::instance {

/// Provides the membership with this instance's knowledge of the configuration, and receives the
/// knowledge of peers. Called on the decision task.
class knowledge_source {
  public:
    virtual ~knowledge_source() = default;

    /// @return what this instance knows about the newest configuration
    [[nodiscard]] virtual api::configuration_knowledge knowledge(core::instant now) const = 0;

    /// Called when a peer has reported what it knows about the newest configuration.
    /// @param from the peer
    /// @param reported the peer's knowledge
    /// @param not_before the peer made the report after this instant; empty if unknown
    /// @param now current instant
    virtual void on_peer_knowledge(const api::peer_identity& from,
                                   const api::configuration_knowledge& reported,
                                   std::optional<core::instant> not_before, core::instant now) = 0;

    /// Called after a period in which this process didn't run.
    /// @param length length of the period
    /// @param now current instant
    virtual void paused(core::duration length, core::instant now) = 0;
};

} // namespace cyclamen::instance
