#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/time.hpp"
#include "replica/table_copy.hpp"

namespace cyclamen::replica {

/// Holds back what a restored store has forgotten of one table: rows that it lacks, and removed
/// rows that it has again. Their writers write them again within a moment; what is still different
/// after that is passed on as a change. Used by the replica task.
class restored_rows {
  public:
    /// @param settle_time time within which lost rows are written again
    explicit restored_rows(core::duration settle_time) : settle_time_{settle_time} {}

    /// Takes a change of the copy.
    /// @return the rows to pass on now
    [[nodiscard]] table_update filter(const table_change& change, core::instant now);

    /// @return the rows that were held back until now, empty if there are none
    [[nodiscard]] std::optional<table_update> take_settled(core::instant now);

    /// @return when take_settled() must be called, empty if no row is held back
    [[nodiscard]] std::optional<core::instant> next_deadline() const { return settled_at_; }

  private:
    const core::duration settle_time_;
    std::map<std::string, row> held_;
    std::string table_;
    core::store_version version_;
    std::optional<core::instant> settled_at_;
};

} // namespace cyclamen::replica
