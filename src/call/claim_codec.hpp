#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "call/claim_record.hpp"

/// @file
/// Form of a claim in the table: JSON.

namespace cyclamen::call {

/// @return the row of a claim; a hash stands for the caller's key
[[nodiscard]] api::row_key row_key_of(const claim_key& key);

/// @return the value of the row
[[nodiscard]] std::string encode_claim(const claim_record& record);

/// @return the claim, or invalid_argument
[[nodiscard]] absl::StatusOr<claim_record> decode_claim(std::string_view value);

} // namespace cyclamen::call
