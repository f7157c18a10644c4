#include "standin/row_store.hpp"

#include <algorithm>

namespace cyclamen::standin {

bool row_store::commit(const std::vector<row_condition>& conditions,
                       const std::vector<row_write>& writes)
{
    const bool holds =
        std::all_of(conditions.begin(), conditions.end(), [&](const row_condition& each) {
            const auto known = rows_.find({each.table, each.key});
            return (known == rows_.end() ? 0 : known->second.version) == each.version;
        });
    if (!holds) {
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

replica::table_update row_store::read(const std::string& table, const std::string& from,
                                      std::size_t most) const
{
    std::vector<replica::row> found;
    bool left = false;
    for (auto each = rows_.lower_bound({table, from});
         each != rows_.end() && each->first.first == table; ++each) {
        if (found.size() == most) {
            left = true;
            break;
        }
        found.push_back(each->second);
    }
    return replica::table_update{table, version_, !left, std::move(found)};
}

std::optional<replica::table_update> row_store::changes(const std::string& table,
                                                        std::uint64_t after) const
{
    if (after < forgotten_) {
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

void row_store::forget_history()
{
    history_.clear();
    forgotten_ = version_;
}

} // namespace cyclamen::standin
