#pragma once

#include "replica/row.hpp"

namespace cyclamen::replica {

/// Receives changes of the tables. Called on the replica task.
class replica_listener {
  public:
    virtual ~replica_listener() = default;

    /// Rows of a table have changed. The first update of a table is complete.
    virtual void on_update(const table_update& update) = 0;
};

} // namespace cyclamen::replica
