#pragma once

#include "replica/row.hpp"

namespace cyclamen::replica {

/// Uses the tables. Called on the replica task.
class news_listener {
  public:
    virtual ~news_listener() = default;

    /// Rows of a table have changed; whole for the first news of a table.
    virtual void on_news(const table_news& news) = 0;
};

} // namespace cyclamen::replica
