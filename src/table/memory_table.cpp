#include "table/memory_table.hpp"

namespace cyclamen::table {

api::row memory_table::current_row(const api::row_key& key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return api::row{key, {}, api::row_version{}};
    }
    return api::row{key, found->second.value, found->second.version};
}

api::table_event memory_table::commit(const api::table_commit& transaction)
{
    std::vector<api::row> failed;
    for (const api::row_write& write : transaction.writes) {
        const api::row existing = current_row(write.key);
        if (write.expected.has_value() && *write.expected != existing.version) {
            failed.push_back(existing);
        }
    }
    if (!failed.empty()) {
        return api::table_conflict{transaction.request, std::move(failed)};
    }
    for (const api::row_write& write : transaction.writes) {
        stored_row& row = rows_[write.key];
        row.value = write.value;
        row.version = row.version.next();
    }
    return api::table_committed{transaction.request};
}

api::table_event memory_table::read(const api::table_read& query) const
{
    std::vector<api::row> found;
    for (const api::row_key& key : query.keys) {
        if (rows_.contains(key)) {
            found.push_back(current_row(key));
        }
    }
    return api::table_rows{query.request, std::move(found)};
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
    return api::table_rows{query.request, std::move(found)};
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
