#pragma once

#include <set>

#include <absl/status/statusor.h>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/configuration.hpp"
#include "model/selector.hpp"

namespace cyclamen::routing {

/// What is to be placed.
struct placement_request {
    const core::service_name service;
    /// The version that must carry it.
    const core::version_name version;
    const std::string prompt;
    /// Targets that lost an attempt of the same generation.
    const std::set<core::target_name> avoided;
    /// True where tokens were produced before.
    const bool is_resume;
    /// Targets that may carry it, by their labels.
    const model::selector eligible = {};

    auto operator<=>(const placement_request&) const = default;
};

/// Decides which target carries an attempt. Called by the generation manager on the decision task.
class target_chooser {
  public:
    virtual ~target_chooser() = default;

    /// Takes over a new configuration.
    virtual void configure(model::configuration_ptr configuration) = 0;

    /// Chooses a target.
    /// @param wanted what is to be placed
    /// @param now current instant
    /// @return the target, or unavailable where none may be used now
    [[nodiscard]] virtual absl::StatusOr<model::target> choose(const placement_request& request,
                                                               core::instant now) = 0;

    /// Notes that an attempt was sent to a target.
    virtual void on_opened(const core::target_name& target, core::instant now) = 0;

    /// Notes that an attempt ended at a target as it should.
    virtual void on_finished(const core::target_name& target, core::instant now) = 0;

    /// Notes that a target lost an attempt.
    virtual void on_lost(const core::target_name& target, core::instant now) = 0;
};

} // namespace cyclamen::routing
