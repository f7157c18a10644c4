#include "table/memory_table.hpp"

namespace cyclamen::table {

api::row memory_table::current(const api::row_key& key) const
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
        const api::row now = current(write.key);
        if (write.expected.has_value() && *write.expected != now.version) {
            failed.push_back(now);
        }
    }
    if (!failed.empty()) {
        return api::table_conflict{transaction.request, std::move(failed)};
    }
    for (const api::row_write& write : transaction.writes) {
        stored_row& stored = rows_[write.key];
        stored.value = write.value;
        stored.version = stored.version.next();
    }
    return api::table_committed{transaction.request};
}

api::table_event memory_table::read(const api::table_read& wanted) const
{
    std::vector<api::row> found;
    for (const api::row_key& key : wanted.keys) {
        if (rows_.contains(key)) {
            found.push_back(current(key));
        }
    }
    return api::table_rows{wanted.request, std::move(found)};
}

api::table_event memory_table::scan(const api::table_scan& wanted) const
{
    std::vector<api::row> found;
    auto each = rows_.lower_bound(api::row_key{wanted.table, wanted.prefix});
    while (each != rows_.end() && each->first.table == wanted.table &&
           each->first.row.starts_with(wanted.prefix)) {
        found.push_back(current(each->first));
        ++each;
    }
    return api::table_rows{wanted.request, std::move(found)};
}

api::table_event memory_table::apply(const api::table_command& command)
{
    if (const auto* transaction = std::get_if<api::table_commit>(&command)) {
        return commit(*transaction);
    }
    if (const auto* wanted = std::get_if<api::table_read>(&command)) {
        return read(*wanted);
    }
    return scan(std::get<api::table_scan>(command));
}

} // namespace cyclamen::table
