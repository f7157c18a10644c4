#pragma once

#include "replica/row.hpp"

namespace cyclamen::replica {

/// Uses the tables. Called on the replica task.
class replica_listener {
  public:
    virtual ~replica_listener() = default;

    /// Rows of a table have changed; whole for the first news of a table.
    virtual void on_update(const table_update& update) = 0;
};

} // namespace cyclamen::replica
