#pragma once

#include <compare>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cyclamen::config {

/// An operator, who may read configurations and, if allowed, apply them.
struct operator_account {
    const std::string name;
    /// SHA-256 of the token, in lower-case hexadecimal.
    const std::string token_hash;
    const bool may_apply;

    auto operator<=>(const operator_account&) const = default;
};

/// Authenticates an operator by bearer token and checks the permission.
/// @param operators the operators of the settings
/// @param bearer token as it was sent
/// @param applying true if the request applies a configuration
/// @return the operator, or the error unauthenticated or permission_denied
[[nodiscard]] absl::StatusOr<operator_account>
authorize(const std::vector<operator_account>& operators, const std::string& bearer, bool applying);

} // namespace cyclamen::config
