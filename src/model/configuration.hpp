#pragma once

#include <compare>
#include <memory>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "core/identifier.hpp"
#include "model/client_account.hpp"
#include "model/rollout.hpp"
#include "model/service.hpp"
#include "model/target.hpp"

namespace cyclamen::model {

/// Everything that operators declare, as of one revision.
struct configuration {
    const core::revision revision;
    const std::vector<service> services;
    const std::vector<target> targets;
    const std::vector<client_account> accounts;
    const std::vector<rollout> rollouts;

    auto operator<=>(const configuration&) const = default;

    /// @return the service of that name, null if there is none
    [[nodiscard]] const service* find_service(const core::service_name& name) const;

    /// @return the target of that name, null if there is none
    [[nodiscard]] const target* find_target(const core::target_name& name) const;

    /// @param bearer_key key as the caller sent it
    /// @return the client account that the key belongs to, null if there is none
    [[nodiscard]] const client_account* find_account(const std::string& bearer_key) const;
};

/// An immutable configuration that tasks share.
using configuration_ptr = std::shared_ptr<const configuration>;

/// Decodes declarations.
/// @param document declarations in JSON; docs/OPERATIONS.md describes the format
/// @param revision revision of the resulting configuration
/// @return the configuration, or invalid_argument that lists all errors with their JSON pointers
[[nodiscard]] absl::StatusOr<configuration_ptr> decode_configuration(const nlohmann::json& document,
                                                                     core::revision revision);

} // namespace cyclamen::model
