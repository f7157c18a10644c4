#include "config/revision_rows.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace cyclamen::config {

namespace {

constexpr const char* table = "configuration";

} // namespace

api::row_key head_row()
{
    return api::row_key{table, "head"};
}

api::row_key revision_row(core::revision revision)
{
    // Zero-padded, so that the names sort in the order of the revisions.
    return api::row_key{table, fmt::format("revision/{:020}", revision.value())};
}

const api::row* find_row(const std::vector<api::row>& rows, const api::row_key& key)
{
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [&](const api::row& each) { return each.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace cyclamen::config
