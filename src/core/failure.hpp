#pragma once

#include <compare>
#include <string>

#include "core/error.hpp"
#include "core/time.hpp"

namespace cyclamen::core {

/// The reason why a request failed, as reported to its caller.
struct failure {
    const error_kind kind;
    /// Description of the problem and what the caller can do about it.
    const std::string message;
    /// True only if no target has run the request and none will run it after this answer.
    const bool not_run;
    /// How long the caller should wait before it retries; zero if waiting doesn't help.
    const duration retry_after;

    auto operator<=>(const failure&) const = default;
};

/// @param status an error
/// @param not_run whether it is certain that no target runs the request
/// @param retry_after how long the caller should wait before it retries; zero if waiting doesn't
/// help
/// @return the error as a comparable value
[[nodiscard]] inline failure to_failure(const absl::Status& status, bool not_run,
                                        duration retry_after = duration::zero())
{
    return failure{kind_of(status), std::string{status.message()}, not_run, retry_after};
}

} // namespace cyclamen::core
