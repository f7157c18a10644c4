#include "standin/row_store.hpp"

#include <algorithm>

namespace cyclamen::standin {

bool row_store::commit(const std::vector<row_condition>& conditions,
                       const std::vector<row_write>& writes)
{
    const bool all_hold =
        std::all_of(conditions.begin(), conditions.end(), [&](const row_condition& each) {
            const auto stored = rows_.find({each.table, each.key});
            return (stored == rows_.end() ? 0 : stored->second.version) == each.version;
        });
    if (!all_hold) {
        return false;
    }
    ++version_;
    for (const row_write& each : writes) {
        const row_key key{each.table, each.key};
        if (each.removed && !rows_.contains(key)) {
            continue;
        }
        const replica::row changed{each.key, each.value, version_, each.removed};
        rows_.erase(key);
        if (!each.removed) {
            rows_.emplace(key, changed);
        }
        history_.emplace_back(each.table, changed);
    }
    return true;
}

replica::table_update row_store::read(const std::string& table, const std::string& first_key,
                                      std::size_t max_rows) const
{
    std::vector<replica::row> found;
    bool has_more = false;
    for (auto each = rows_.lower_bound({table, first_key});
         each != rows_.end() && each->first.first == table; ++each) {
        if (found.size() == max_rows) {
            has_more = true;
            break;
        }
        found.push_back(each->second);
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
    for (const auto& [name, each] : history_) {
        if (name == table && each.version > after) {
            found.push_back(each);
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
