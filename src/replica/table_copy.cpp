#include "replica/table_copy.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace cyclamen::replica {

table_copy::table_copy(std::string name, std::size_t most_removed)
    : name_{std::move(name)}, most_removed_{most_removed}
{
}

namespace {

/// @return the last state of each row
std::vector<row> latest_of_each(const std::vector<row>& rows)
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

std::optional<table_news> table_copy::apply(const table_news& news)
{
    if (news.version < version_) {
        return std::nullopt;
    }
    const bool first = version_ == 0;
    std::vector<row> changed;
    const auto take = [&](const row& each) {
        if (put(each)) {
            changed.push_back(each);
        }
    };
    for (const row& each : latest_of_each(news.rows)) {
        take(each);
    }
    if (news.whole && !first) {
        std::set<std::string> present;
        for (const row& each : news.rows) {
            present.insert(each.key);
        }
        std::vector<row> missing;
        for (const auto& [key, known] : rows_) {
            if (!known.removed && !present.contains(key)) {
                missing.push_back(row{key, {}, news.version, true});
            }
        }
        for (const row& each : missing) {
            take(each);
        }
    }
    version_ = news.version;
    if (changed.empty() && !first) {
        return std::nullopt;
    }
    return table_news{name_, version_, first, std::move(changed)};
}

bool table_copy::put(const row& changed)
{
    const auto known = rows_.find(changed.key);
    if (known != rows_.end() && known->second.version >= changed.version) {
        return false;
    }
    if (known == rows_.end() && changed.removed && version_ == 0) {
        return false;
    }
    forget_removed(changed.key);
    rows_.erase(changed.key);
    rows_.emplace(changed.key, changed);
    last_change_ = std::max(last_change_, changed.version);
    if (changed.removed) {
        removed_.emplace(changed.version, changed.key);
    }
    while (removed_.size() > most_removed_) {
        forgotten_ = std::max(forgotten_, removed_.begin()->first);
        rows_.erase(removed_.begin()->second);
        removed_.erase(removed_.begin());
    }
    return true;
}

void table_copy::forget_removed(const std::string& key)
{
    const auto known = rows_.find(key);
    if (known == rows_.end() || !known->second.removed) {
        return;
    }
    const auto [from, to] = removed_.equal_range(known->second.version);
    const auto entry = std::find_if(from, to, [&](const auto& each) { return each.second == key; });
    if (entry != to) {
        removed_.erase(entry);
    }
}

table_news table_copy::changes_since(std::uint64_t version) const
{
    const bool whole = version == 0 || version < forgotten_;
    std::vector<row> rows;
    for (const auto& [key, known] : rows_) {
        const row& each = known;
        if (whole ? !each.removed : each.version > version) {
            rows.push_back(each);
        }
    }
    return table_news{name_, version_, whole, std::move(rows)};
}

bool table_copy::has_changes_since(std::uint64_t version) const
{
    // A table that is read in parts may hold rows that are newer than its version.
    return version_ > 0 && (version == 0 || std::min(last_change_, version_) > version);
}

} // namespace cyclamen::replica
