#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "core/time.hpp"
#include "replica/row.hpp"

/// @file
/// Bodies of the calls by which instances hand tables on to each other, and their encoding.

namespace cyclamen::replica {

/// Asks for what has changed.
struct feed_query {
    const std::vector<table_state> known;
    /// How long the answer may wait for a change.
    const core::duration wait;

    auto operator<=>(const feed_query&) const = default;
};

/// What has changed.
struct feed_answer {
    const std::vector<table_update> tables;

    auto operator<=>(const feed_answer&) const = default;
};

[[nodiscard]] std::string encode(const feed_query& query);
[[nodiscard]] std::string encode(const feed_answer& answer);

/// @return the query, or invalid_argument
[[nodiscard]] absl::StatusOr<feed_query> decode_feed_query(std::string_view body);

/// @return the answer, or invalid_argument
[[nodiscard]] absl::StatusOr<feed_answer> decode_feed_answer(std::string_view body);

} // namespace cyclamen::replica
