#pragma once

#include "api/table_messages.hpp"
#include "core/identifier.hpp"

namespace cyclamen::config {

/// @return the key of the head row, which names the newest revision; its value has no declarations
[[nodiscard]] api::row_key head_row();

/// @return the key of the row that holds one revision; that row is written only once
[[nodiscard]] api::row_key revision_row(core::revision revision);

/// @param rows rows that were read
/// @param key key of the row to find
/// @return the row, null if it is absent
[[nodiscard]] const api::row* find_row(const std::vector<api::row>& rows, const api::row_key& key);

} // namespace cyclamen::config
