#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "call/claim_record.hpp"

/// @file
/// JSON encoding of a claim in the table.

namespace cyclamen::call {

/// @return key of the row of a claim; it contains a hash of the caller's request key
[[nodiscard]] api::row_key row_key_of(const claim_key& key);

/// @return the encoded value of the row
[[nodiscard]] std::string encode_claim(const claim_record& record);

/// @return the decoded claim, or invalid_argument
[[nodiscard]] absl::StatusOr<claim_record> decode_claim(std::string_view value);

} // namespace cyclamen::call
