#include "replica/table_copy.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace cyclamen::replica {

table_copy::table_copy(std::string name, std::size_t max_tombstones)
    : name_{std::move(name)}, max_tombstones_{max_tombstones}
{
}

namespace {

/// @return the newest state of each row, ordered by key
std::vector<row> latest_by_key(const std::vector<row>& rows)
{
    std::map<std::string_view, const row*> latest;
    for (const row& each : rows) {
        const row*& known = latest[each.key];
        if (known == nullptr || each.version >= known->version) {
            known = &each;
        }
    }
    std::vector<row> result;
    for (const auto& [key, last] : latest) {
        result.push_back(*last);
    }
    return result;
}

} // namespace

std::optional<table_change> table_copy::apply(const table_update& update)
{
    const bool first = version_ == core::store_version{};
    const bool restored = !first && update.version.era() > version_.era();
    if (update.version < version_ || (restored && !update.complete)) {
        return std::nullopt;
    }
    std::vector<row> changed;
    std::set<std::string> revived;
    const auto apply_row = [&](const row& each) {
        const auto known = rows_.find(each.key);
        const bool was_removed = known != rows_.end() && known->second.removed;
        if (!put(each)) {
            return;
        }
        changed.push_back(each);
        if (restored && was_removed && !each.removed) {
            revived.insert(each.key);
        }
    };
    for (const row& each : latest_by_key(update.rows)) {
        apply_row(each);
    }
    if (update.complete && !first) {
        std::set<std::string> present;
        for (const row& each : update.rows) {
            present.insert(each.key);
        }
        std::vector<row> missing;
        for (const auto& [key, known] : rows_) {
            if (!known.removed && !present.contains(key)) {
                missing.push_back(row{key, {}, update.version, true});
            }
        }
        for (const row& each : missing) {
            apply_row(each);
        }
    }
    version_ = update.version;
    if (restored) {
        last_change_ = std::max(last_change_, version_);
    }
    if (changed.empty() && !first && !restored) {
        return std::nullopt;
    }
    return table_change{table_update{name_, version_, first, std::move(changed)}, restored,
                        std::move(revived)};
}

bool table_copy::put(const row& changed)
{
    const auto known = rows_.find(changed.key);
    if (known != rows_.end() && known->second.version >= changed.version) {
        return false;
    }
    if (known == rows_.end() && changed.removed && version_ == core::store_version{}) {
        return false;
    }
    erase_tombstone(changed.key);
    rows_.erase(changed.key);
    rows_.emplace(changed.key, changed);
    last_change_ = std::max(last_change_, changed.version);
    if (changed.removed) {
        tombstones_.emplace(changed.version, changed.key);
    }
    while (tombstones_.size() > max_tombstones_) {
        history_start_ = std::max(history_start_, tombstones_.begin()->first);
        rows_.erase(tombstones_.begin()->second);
        tombstones_.erase(tombstones_.begin());
    }
    return true;
}

void table_copy::erase_tombstone(const std::string& key)
{
    const auto known = rows_.find(key);
    if (known == rows_.end() || !known->second.removed) {
        return;
    }
    const auto [from, to] = tombstones_.equal_range(known->second.version);
    const auto entry = std::find_if(from, to, [&](const auto& each) { return each.second == key; });
    if (entry != to) {
        tombstones_.erase(entry);
    }
}

table_update table_copy::changes_since(const core::store_version& version) const
{
    // A follower of an earlier era may know rows that were lost before this copy could see them.
    const bool complete = version == core::store_version{} || version < history_start_ ||
                          version.era() < version_.era();
    std::vector<row> rows;
    for (const auto& [key, known] : rows_) {
        const row& each = known;
        if (complete ? !each.removed : each.version > version) {
            rows.push_back(each);
        }
    }
    return table_update{name_, version_, complete, std::move(rows)};
}

bool table_copy::has_changes_since(const core::store_version& version) const
{
    // A table that was read in parts may contain rows that are newer than its version.
    return version_ > core::store_version{} &&
           (version == core::store_version{} || std::min(last_change_, version_) > version);
}

} // namespace cyclamen::replica
