#include "standin/row_store.hpp"

#include <algorithm>

namespace cyclamen::standin {

namespace {

/// Rows of a copy keep their numbers: the answers of the store name the era beside them.
core::store_version position_at(std::uint64_t number)
{
    return core::store_version{0, number};
}

} // namespace

bool row_store::commit(const std::vector<row_condition>& conditions,
                       const std::vector<row_write>& writes)
{
    const bool all_hold =
        std::all_of(conditions.begin(), conditions.end(), [&](const row_condition& condition) {
            const auto stored = rows_.find({condition.table, condition.key});
            return (stored == rows_.end() ? 0 : stored->second.version.number()) ==
                   condition.version;
        });
    if (!all_hold) {
        return false;
    }
    apply(writes, false);
    return true;
}

void row_store::write_externally(const std::vector<row_write>& writes)
{
    apply(writes, true);
}

void row_store::apply(const std::vector<row_write>& writes, bool external)
{
    ++version_;
    transaction applied{version_, external, writes, {}};
    for (const row_write& write : writes) {
        const row_key key{write.table, write.key};
        const auto stored = rows_.find(key);
        if (write.removed && stored == rows_.end()) {
            continue;
        }
        applied.replaced.emplace_back(key, stored == rows_.end() ? std::nullopt
                                                                 : std::optional{stored->second});
        const replica::row changed{write.key, write.value, position_at(version_), write.removed};
        rows_.erase(key);
        if (!write.removed) {
            rows_.emplace(key, changed);
        }
        history_.emplace_back(write.table, changed);
    }
    transactions_.push_back(std::move(applied));
    if (transactions_.size() > max_undone_transactions) {
        transactions_.pop_front();
    }
}

std::vector<std::vector<row_write>> row_store::restore(std::uint64_t version)
{
    std::vector<std::vector<row_write>> external;
    while (!transactions_.empty() && transactions_.back().version > version) {
        const transaction& newest = transactions_.back();
        if (newest.external) {
            external.push_back(newest.writes);
        }
        undo(newest);
        transactions_.pop_back();
    }
    std::reverse(external.begin(), external.end());
    std::vector<std::pair<std::string, replica::row>> kept;
    for (const auto& [table, row] : history_) {
        if (row.version.number() <= version_) {
            kept.emplace_back(table, row);
        }
    }
    history_.swap(kept);
    history_start_ = std::min(history_start_, version_);
    ++era_;
    return external;
}

void row_store::undo(const transaction& undone)
{
    for (auto each = undone.replaced.rbegin(); each != undone.replaced.rend(); ++each) {
        rows_.erase(each->first);
        if (each->second.has_value()) {
            rows_.emplace(each->first, *each->second);
        }
    }
    version_ = undone.version - 1;
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
    return replica::table_update{table, position_at(version_), !has_more, std::move(found)};
}

std::optional<replica::table_update> row_store::changes(const std::string& table,
                                                        std::uint64_t after) const
{
    if (after < history_start_ || after > version_) {
        return std::nullopt;
    }
    std::vector<replica::row> found;
    for (const auto& [name, row] : history_) {
        if (name == table && row.version.number() > after) {
            found.push_back(row);
        }
    }
    return replica::table_update{table, position_at(version_), false, std::move(found)};
}

void row_store::drop_history()
{
    history_.clear();
    history_start_ = version_;
}

} // namespace cyclamen::standin
