#include "standin/row_store.hpp"

#include <algorithm>

namespace cyclamen::standin {

bool row_store::commit(const std::vector<row_condition>& conditions,
                       const std::vector<row_write>& writes)
{
    const bool all_hold =
        std::all_of(conditions.begin(), conditions.end(), [&](const row_condition& condition) {
            const auto stored = rows_.find({condition.table, condition.key});
            return (stored == rows_.end() ? 0 : stored->second.version) == condition.version;
        });
    if (!all_hold) {
        return false;
    }
    ++version_;
    for (const row_write& write : writes) {
        const row_key key{write.table, write.key};
        if (write.removed && !rows_.contains(key)) {
            continue;
        }
        const replica::row changed{write.key, write.value, version_, write.removed};
        rows_.erase(key);
        if (!write.removed) {
            rows_.emplace(key, changed);
        }
        history_.emplace_back(write.table, changed);
    }
    return true;
}

replica::table_update row_store::read(const std::string& table, const std::string& first_key,
                                      std::size_t max_rows) const
{
    std::vector<replica::row> found;
    bool has_more = false;
    for (auto position = rows_.lower_bound({table, first_key});
         position != rows_.end() && position->first.first == table; ++position) {
        if (found.size() == max_rows) {
            has_more = true;
            break;
        }
        found.push_back(position->second);
    }
    return replica::table_update{table, version_, !has_more, std::move(found)};
}

std::optional<replica::table_update> row_store::changes(const std::string& table,
                                                        std::uint64_t after) const
{
    if (after < history_start_) {
        return std::nullopt;
    }
    std::vector<replica::row> found;
    for (const auto& [name, row] : history_) {
        if (name == table && row.version > after) {
            found.push_back(row);
        }
    }
    return replica::table_update{table, version_, false, std::move(found)};
}

void row_store::drop_history()
{
    history_.clear();
    history_start_ = version_;
}

} // namespace cyclamen::standin
