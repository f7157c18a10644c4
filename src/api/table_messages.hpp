#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/identifier.hpp"

/// @file
/// Messages between the decision task and the table task, which owns the connections to the
/// transactional table service.

namespace cyclamen::api {

/// Number of a request of one instance to the table service.
using table_request = core::number<struct table_request_tag>;

/// Rises each time the table service returns from a copy of an earlier state and thereby loses what
/// it had acknowledged since; always 0 for a service that never does.
using table_era = core::number<struct table_era_tag>;

/// Version of a row: a number that each write increments, within one era of the table. A restored
/// table gives out the numbers of lost writes again, so that only versions of one era have an
/// order.
class row_version {
  public:
    /// Version of a row that is absent, as of no particular era.
    constexpr row_version() = default;

    /// @param number number of writes of the row; 0 means that the row is absent
    /// @param era era of the table in which the row has this version
    explicit constexpr row_version(std::uint64_t number, table_era era = {})
        : era_{era}, number_{number}
    {
    }

    /// @return number of writes of the row
    [[nodiscard]] constexpr std::uint64_t value() const { return number_; }
    /// @return era of the table in which the row has this version
    [[nodiscard]] constexpr table_era era() const { return era_; }
    /// @return true if the row is absent
    [[nodiscard]] constexpr bool is_absent() const { return number_ == 0; }

    /// @return version after another write in the same era
    [[nodiscard]] constexpr row_version next() const { return row_version{number_ + 1, era_}; }

    auto operator<=>(const row_version&) const = default;

  private:
    table_era era_;
    std::uint64_t number_ = 0;
};

/// Identifies a row.
struct row_key {
    const std::string table;
    const std::string row;

    auto operator<=>(const row_key&) const = default;
};

/// A row as it was read.
struct row {
    const row_key key;
    const std::string value;
    const row_version version;

    auto operator<=>(const row&) const = default;
};

/// A write within a transaction.
struct row_write {
    const row_key key;
    const std::string value;
    /// The version that the row must have, in the era of that version; a row that must be absent
    /// has number 0, and row_version{} holds in each era. Empty for an unconditional write.
    const std::optional<row_version> expected;

    auto operator<=>(const row_write&) const = default;
};

/// Command: write all rows atomically; none is written if any condition fails.
struct table_commit {
    const table_request request;
    const std::vector<row_write> writes;

    auto operator<=>(const table_commit&) const = default;
};

/// Command: read rows by key. The answer omits absent rows.
struct table_read {
    const table_request request;
    const std::vector<row_key> keys;

    auto operator<=>(const table_read&) const = default;
};

/// Command: read all rows of a table whose names start with a prefix, sorted by name.
struct table_scan {
    const table_request request;
    const std::string table;
    const std::string prefix;

    auto operator<=>(const table_scan&) const = default;
};

/// Commands of the decision task to the table task.
using table_command = std::variant<table_commit, table_read, table_scan>;

/// The transaction was committed.
struct table_committed {
    const table_request request;
    /// Era of the table when it committed the transaction.
    const table_era era{};

    auto operator<=>(const table_committed&) const = default;
};

/// A condition failed, so nothing was written.
struct table_conflict {
    const table_request request;
    /// Current state of the rows whose conditions failed; an absent row has a version with number
    /// 0.
    const std::vector<row> current;
    /// Era of the table when it answered.
    const table_era era{};

    auto operator<=>(const table_conflict&) const = default;
};

/// Answers a table_read or a table_scan.
struct table_rows {
    const table_request request;
    const std::vector<row> rows;
    /// Era of the table when it was read.
    const table_era era{};

    auto operator<=>(const table_rows&) const = default;
};

/// The request got no usable answer.
struct table_failed {
    const table_request request;
    /// True if a write may have taken effect nevertheless.
    const bool may_be_applied;
    const std::string detail;

    auto operator<=>(const table_failed&) const = default;
};

/// Events of the table task for the decision task.
using table_event = std::variant<table_committed, table_conflict, table_rows, table_failed>;

} // namespace cyclamen::api
