#pragma once

#include <set>

#include <absl/status/statusor.h>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/configuration.hpp"
#include "model/selector.hpp"

namespace cyclamen::routing {

/// A generation or call that needs a target.
struct placement_request {
    const core::service_name service;
    /// Version of the service that must run it.
    const core::version_name version;
    const std::string prompt;
    /// Targets that already lost an attempt of the same generation or call.
    const std::set<core::target_name> avoided;
    /// True if an earlier attempt already produced tokens.
    const bool is_resume;
    /// Labels that a target must have.
    const model::selector eligible = {};

    auto operator<=>(const placement_request&) const = default;
};

/// Decides which target runs an attempt. Called by the generation manager and the call manager on
/// the decision task.
class target_chooser {
  public:
    virtual ~target_chooser() = default;

    /// Applies a new configuration.
    virtual void configure(model::configuration_ptr configuration) = 0;

    /// Chooses a target.
    /// @param request what needs a target
    /// @param now current instant
    /// @return the target, or `unavailable` if none can be used now
    [[nodiscard]] virtual absl::StatusOr<model::target> choose(const placement_request& request,
                                                               core::instant now) = 0;

    /// Records that an attempt was sent to a target.
    virtual void on_opened(const core::target_name& target, core::instant now) = 0;

    /// Records that an attempt at a target succeeded.
    virtual void on_finished(const core::target_name& target, core::instant now) = 0;

    /// Records that a target lost an attempt.
    virtual void on_lost(const core::target_name& target, core::instant now) = 0;
};

} // namespace cyclamen::routing
