#include "core/error.hpp"

#include <array>
#include <string>

#include <absl/strings/cord.h>

#include "core/text.hpp"

namespace cyclamen::core {

namespace {

constexpr std::string_view kind_payload = "cyclamencourse/error_kind";

struct kind_row {
    error_kind kind;
    std::string_view text;
    absl::StatusCode code;
};

constexpr std::array kind_table{
    kind_row{error_kind::invalid_argument, "invalid_argument", absl::StatusCode::kInvalidArgument},
    kind_row{error_kind::unauthenticated, "unauthenticated", absl::StatusCode::kUnauthenticated},
    kind_row{error_kind::permission_denied, "permission_denied",
             absl::StatusCode::kPermissionDenied},
    kind_row{error_kind::not_found, "not_found", absl::StatusCode::kNotFound},
    kind_row{error_kind::conflict, "conflict", absl::StatusCode::kAborted},
    kind_row{error_kind::too_large, "too_large", absl::StatusCode::kOutOfRange},
    kind_row{error_kind::unprocessable, "unprocessable", absl::StatusCode::kFailedPrecondition},
    kind_row{error_kind::overloaded, "overloaded", absl::StatusCode::kResourceExhausted},
    kind_row{error_kind::unavailable, "unavailable", absl::StatusCode::kUnavailable},
    kind_row{error_kind::deadline_exceeded, "deadline_exceeded",
             absl::StatusCode::kDeadlineExceeded},
    kind_row{error_kind::outcome_unknown, "outcome_unknown", absl::StatusCode::kUnknown},
    kind_row{error_kind::superseded, "superseded", absl::StatusCode::kAborted},
    kind_row{error_kind::quarantined, "quarantined", absl::StatusCode::kFailedPrecondition},
    kind_row{error_kind::cancelled, "cancelled", absl::StatusCode::kCancelled},
    kind_row{error_kind::internal, "internal", absl::StatusCode::kInternal},
};

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

const kind_row& row_of(error_kind kind)
{
    for (const kind_row& row : kind_table) {
        if (row.kind == kind) {
            return row;
        }
    }
    return kind_table.back();
}

} // namespace

std::string_view to_string(error_kind kind)
{
    return row_of(kind).text;
}

absl::Status make_error(error_kind kind, std::string_view problem, std::string_view remedy)
{
    const kind_row& row = row_of(kind);
    absl::Status status{row.code, concat(problem, "; ", remedy)};
    status.SetPayload(to_absl(kind_payload), absl::Cord{to_absl(row.text)});
    return status;
}

error_kind kind_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(to_absl(kind_payload));
    if (!payload.has_value()) {
        return error_kind::internal;
    }
    for (const kind_row& row : kind_table) {
        if (*payload == to_absl(row.text)) {
            return row.kind;
        }
    }
    return error_kind::internal;
}

} // namespace cyclamen::core
