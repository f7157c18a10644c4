#include "replica/restored_rows.hpp"

#include <utility>
#include <vector>

namespace cyclamen::replica {

table_update restored_rows::filter(const table_change& change, core::instant now)
{
    const table_update& update = change.update;
    std::vector<row> passed;
    for (const row& each : update.rows) {
        // A later change of a row replaces what was held back of it.
        held_.erase(each.key);
        if (change.restored && (each.removed || change.revived.contains(each.key))) {
            held_.emplace(each.key, each);
        }
        else {
            passed.push_back(each);
        }
    }
    table_ = update.table;
    version_ = update.version;
    if (held_.empty()) {
        settled_at_.reset();
    }
    else if (change.restored) {
        settled_at_ = now + settle_time_;
    }
    return table_update{update.table, update.version, update.complete, std::move(passed)};
}

std::optional<table_update> restored_rows::take_settled(core::instant now)
{
    if (!settled_at_.has_value() || *settled_at_ > now) {
        return std::nullopt;
    }
    settled_at_.reset();
    std::vector<row> rows;
    for (const auto& [key, each] : std::exchange(held_, {})) {
        rows.push_back(each);
    }
    return table_update{table_, version_, false, std::move(rows)};
}

} // namespace cyclamen::replica
