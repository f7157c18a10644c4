#pragma once

#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace cyclamen::core {

/// Classes of errors, distinguished where a caller can react to them differently.
enum class error_kind {
    invalid_argument,
    unauthenticated,
    permission_denied,
    not_found,
    conflict,
    too_large,
    unprocessable,
    overloaded,
    unavailable,
    deadline_exceeded,
    outcome_unknown,
    superseded,
    quarantined,
    cancelled,
    internal,
};

/// @return the name of the kind, as used in logs and error bodies
[[nodiscard]] std::string_view to_string(error_kind kind);

/// Creates an error with the message "PROBLEM; REMEDY".
/// @param kind class of the error
/// @param problem description of the problem, without a final full stop
/// @param remedy what the reader can do about it
/// @return a status that is never OK
[[nodiscard]] absl::Status make_error(error_kind kind, std::string_view problem,
                                      std::string_view remedy);

/// @param status an error, created by make_error() or elsewhere
/// @return its kind; `internal` if the status carries none
[[nodiscard]] error_kind kind_of(const absl::Status& status);

} // namespace cyclamen::core
