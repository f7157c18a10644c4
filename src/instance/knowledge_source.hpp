#pragma once

#include <optional>

#include "api/peer_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::instance {

/// What the membership needs of the configuration. Called on the thread of the decision task.
class knowledge_source {
  public:
    virtual ~knowledge_source() = default;

    /// @return what this instance knows of the newest configuration
    [[nodiscard]] virtual api::configuration_knowledge knowledge(core::instant now) const = 0;

    /// A peer has said what it knows.
    /// @param from the peer
    /// @param heard what it knows
    /// @param not_before the peer said so after this; empty where that is not known
    /// @param now current instant
    virtual void on_peer_knowledge(const api::peer_identity& from,
                                   const api::configuration_knowledge& reported,
                                   std::optional<core::instant> not_before, core::instant now) = 0;

    /// This process has not run for a while.
    virtual void paused(core::duration length, core::instant now) = 0;
};

} // namespace cyclamen::instance
