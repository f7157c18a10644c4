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

/// Everything that operators declare, at one revision.
struct configuration {
    const core::revision revision;
    const std::vector<service> services;
    const std::vector<target> targets;
    const std::vector<client_account> accounts;
    const std::vector<rollout> rollouts;

    auto operator<=>(const configuration&) const = default;

    /// @return the service of that name, null where there is none
    [[nodiscard]] const service* find_service(const core::service_name& name) const;

    /// @return the target of that name, null where there is none
    [[nodiscard]] const target* find_target(const core::target_name& name) const;

    /// @param bearer key as the caller sent it
    /// @return the client account that it names, null where there is none
    [[nodiscard]] const client_account* find_account(const std::string& bearer_key) const;
};

/// A configuration that tasks share; nobody changes it.
using configuration_ptr = std::shared_ptr<const configuration>;

/// Decodes declarations.
/// @param document the JSON form, see docs/OPERATING.md
/// @param revision the revision to give the result
/// @return the configuration, or invalid_argument that lists every fault with its JSON pointer
[[nodiscard]] absl::StatusOr<configuration_ptr> decode_configuration(const nlohmann::json& document,
                                                                     core::revision revision);

} // namespace cyclamen::model
