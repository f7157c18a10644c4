#include "table/memory_table.hpp"

namespace cyclamen::table {

namespace {

/// Bounds the memory for restore().
constexpr std::size_t max_undo_transactions = 10'000;

} // namespace

api::row memory_table::current_row(const api::row_key& key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return api::row{key, {}, api::row_version{0, era_}};
    }
    return api::row{key, found->second.value, api::row_version{found->second.writes, era_}};
}

bool memory_table::holds(const api::row_write& write, const api::row& existing) const
{
    if (!write.expected.has_value()) {
        return true;
    }
    return *write.expected == existing.version ||
           (*write.expected == api::row_version{} && existing.version.is_absent());
}

api::table_event memory_table::commit(const api::table_commit& transaction)
{
    std::vector<api::row> failed;
    for (const api::row_write& write : transaction.writes) {
        const api::row existing = current_row(write.key);
        if (!holds(write, existing)) {
            failed.push_back(existing);
        }
    }
    if (!failed.empty()) {
        return api::table_conflict{transaction.request, std::move(failed), era_};
    }
    previous_rows previous;
    for (const api::row_write& write : transaction.writes) {
        const auto found = rows_.find(write.key);
        previous.emplace(write.key,
                         found == rows_.end() ? std::nullopt : std::optional{found->second});
        stored_row& row = rows_[write.key];
        row.value = write.value;
        ++row.writes;
    }
    ++transactions_;
    undo_.push_back(std::move(previous));
    if (undo_.size() > max_undo_transactions) {
        undo_.pop_front();
    }
    return api::table_committed{transaction.request, era_};
}

bool memory_table::restore(std::uint64_t transactions)
{
    if (transactions > transactions_ || transactions_ - transactions > undo_.size()) {
        return false;
    }
    for (; transactions_ > transactions; --transactions_) {
        for (auto& [key, row] : undo_.back()) {
            if (row.has_value()) {
                rows_.insert_or_assign(key, std::move(*row));
            }
            else {
                rows_.erase(key);
            }
        }
        undo_.pop_back();
    }
    era_ = era_.next();
    return true;
}

api::table_event memory_table::read(const api::table_read& query) const
{
    std::vector<api::row> found;
    for (const api::row_key& key : query.keys) {
        if (rows_.contains(key)) {
            found.push_back(current_row(key));
        }
    }
    return api::table_rows{query.request, std::move(found), era_};
}

api::table_event memory_table::scan(const api::table_scan& query) const
{
    std::vector<api::row> found;
    auto position = rows_.lower_bound(api::row_key{query.table, query.prefix});
    while (position != rows_.end() && position->first.table == query.table &&
           position->first.row.starts_with(query.prefix)) {
        found.push_back(current_row(position->first));
        ++position;
    }
    return api::table_rows{query.request, std::move(found), era_};
}

api::table_event memory_table::apply(const api::table_command& command)
{
    if (const auto* transaction = std::get_if<api::table_commit>(&command)) {
        return commit(*transaction);
    }
    if (const auto* query = std::get_if<api::table_read>(&command)) {
        return read(*query);
    }
    return scan(std::get<api::table_scan>(command));
}

} // namespace cyclamen::table
