#include "config/operator_account.hpp"

#include <algorithm>

#include "core/error.hpp"
#include "core/text.hpp"
#include "model/client_account.hpp"

namespace cyclamen::config {

absl::StatusOr<operator_account> authorize(const std::vector<operator_account>& operators,
                                           const std::string& bearer, bool applying)
{
    const std::string hash = model::hash_key(bearer);
    const auto found =
        std::find_if(operators.begin(), operators.end(),
                     [&](const operator_account& each) { return each.token_hash == hash; });
    if (bearer.empty() || found == operators.end()) {
        return core::make_error(core::error_kind::unauthenticated,
                                "the bearer token belongs to no operator",
                                "send the token of an operator listed in the settings");
    }
    if (applying && !found->may_apply) {
        return core::make_error(
            core::error_kind::permission_denied,
            core::concat("operator ", found->name, " is not allowed to apply configurations"),
            "use the token of an operator with may_apply in the settings");
    }
    return *found;
}

} // namespace cyclamen::config
