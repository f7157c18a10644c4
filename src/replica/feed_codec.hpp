#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "core/time.hpp"
#include "replica/row.hpp"
#include "routing/pace_source.hpp"

/// @file
/// Bodies of the requests by which instances replicate tables from each other, and their encoding.

namespace cyclamen::replica {

/// Asks a reader for changes since the versions that are known.
struct feed_query {
    const std::vector<table_state> known;
    /// How long the answer may be delayed until there is a change.
    const core::duration wait;
    /// What the asker has observed of the paces of targets since its last query.
    const std::vector<routing::pace_report> paces = {};
    /// Position of this reader's last answer in its changes of paces, 0 if there was none.
    const std::uint64_t pace_position = 0;

    auto operator<=>(const feed_query&) const = default;
};

/// Changes of the tables that were asked for.
struct feed_answer {
    const std::vector<table_update> tables;
    /// Time since the store last answered for the reader's first table.
    const core::duration age;
    /// Changes of paces since the position in the query.
    const std::vector<routing::pace_report> paces = {};
    /// Position up to which the changes go.
    const std::uint64_t pace_position = 0;

    auto operator<=>(const feed_answer&) const = default;
};

[[nodiscard]] std::string encode(const feed_query& query);
[[nodiscard]] std::string encode(const feed_answer& answer);

/// @return the query, or invalid_argument
[[nodiscard]] absl::StatusOr<feed_query> decode_feed_query(std::string_view body);

/// @return the answer, or invalid_argument
[[nodiscard]] absl::StatusOr<feed_answer> decode_feed_answer(std::string_view body);

} // namespace cyclamen::replica
