#include "replica/table_copy.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "replica/feed_codec.hpp"

using namespace cyclamen;
using replica::row;
using replica::table_copy;
using replica::table_update;

namespace {

table_update changes(std::uint64_t version, std::vector<row> rows, bool complete = false)
{
    return table_update{"t", version, complete, std::move(rows)};
}

/// The table in the store, with all its changes.
class source_table {
  public:
    void change(const std::string& key, bool removed)
    {
        ++version_;
        if (removed && !rows_.contains(key)) {
            return;
        }
        const row changed{key, std::to_string(version_), version_, removed};
        log_.push_back(changed);
        rows_.erase(key);
        if (!removed) {
            rows_.emplace(key, changed);
        }
    }

    [[nodiscard]] table_update read() const
    {
        std::vector<row> all;
        for (const auto& [key, each] : rows_) {
            all.push_back(each);
        }
        return changes(version_, std::move(all), true);
    }

    [[nodiscard]] table_update feed(std::uint64_t after) const
    {
        std::vector<row> rows;
        for (const row& each : log_) {
            if (each.version > after) {
                rows.push_back(each);
            }
        }
        return changes(version_, std::move(rows));
    }

    [[nodiscard]] std::uint64_t version() const { return version_; }

  private:
    std::map<std::string, row> rows_;
    std::vector<row> log_;
    std::uint64_t version_ = 1;
};

} // namespace

BOOST_AUTO_TEST_CASE(only_the_newest_state_of_a_row_is_applied)
{
    table_copy copy{"t"};
    BOOST_REQUIRE(copy.apply(changes(1, {{"b", "1", 1, false}}, true)).has_value());
    const auto update = copy.apply(changes(
        4, {{"a", "1", 2, false}, {"a", "2", 3, true}, {"b", "2", 4, true}, {"b", "1", 2, false}}));
    BOOST_REQUIRE(update.has_value());
    BOOST_REQUIRE(update->rows.size() == 2U);
    BOOST_TEST(update->rows.at(0).removed);
    BOOST_TEST(update->rows.at(1).removed);
}

BOOST_AUTO_TEST_CASE(older_updates_and_rows_are_dropped)
{
    table_copy copy{"t"};
    BOOST_TEST(copy.apply(changes(5, {{"a", "new", 5, false}}, true))->complete);
    BOOST_TEST(!copy.apply(changes(4, {{"a", "old", 3, false}}, true)).has_value());
    BOOST_TEST(!copy.apply(changes(6, {{"a", "old", 3, false}})).has_value());
    BOOST_TEST(copy.changes_since(0).rows.at(0).value == "new");
    BOOST_TEST(copy.version() == 6U);
}

BOOST_AUTO_TEST_CASE(complete_update_removes_missing_rows)
{
    table_copy copy{"t"};
    BOOST_TEST(
        copy.apply(changes(2, {{"a", "", 1, false}, {"b", "", 2, false}}, true)).has_value());
    const auto update = copy.apply(changes(9, {{"b", "", 2, false}}, true));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(!update->complete);
    BOOST_REQUIRE(update->rows.size() == 1U);
    BOOST_TEST(update->rows.at(0).key == "a");
    BOOST_TEST(update->rows.at(0).removed);
    BOOST_TEST(copy.has_changes_since(2));
    BOOST_TEST(!copy.has_changes_since(9));
}

BOOST_AUTO_TEST_CASE(complete_table_is_returned_if_changes_are_no_longer_known)
{
    table_copy copy{"t", 1};
    BOOST_TEST(copy.apply(changes(1, {{"a", "", 1, false}}, true)).has_value());
    BOOST_TEST(copy.apply(changes(5, {{"a", "", 4, true}, {"b", "", 5, false}})).has_value());
    BOOST_TEST(!copy.changes_since(1).complete);
    BOOST_TEST(copy.apply(changes(6, {{"b", "", 6, true}})).has_value());
    BOOST_TEST(copy.changes_since(1).complete);
    BOOST_TEST(!copy.changes_since(4).complete);
}

BOOST_AUTO_TEST_CASE(rows_newer_than_the_version_are_not_reported_as_changes)
{
    table_copy copy{"t"};
    BOOST_TEST(
        copy.apply(changes(5, {{"a", "", 5, false}, {"z", "", 7, false}}, true)).has_value());
    BOOST_TEST(!copy.has_changes_since(5));
}

BOOST_AUTO_TEST_CASE(copy_of_a_copy_converges_to_the_store)
{
    BOOST_TEST(rc::check("any mix of reads, feeds and replication converges", [] {
        source_table store;
        table_copy reader{"t", 3};
        table_copy follower{"t", 3};
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
            case 1:
                store.change(key, *rc::gen::arbitrary<bool>());
                break;
            case 2:
                static_cast<void>(reader.apply(store.read()));
                break;
            case 3:
                if (reader.version() > 0) {
                    static_cast<void>(reader.apply(store.feed(reader.version())));
                }
                break;
            default:
                if (reader.version() > 0) {
                    const auto sent = replica::decode_feed_answer(replica::encode(
                        replica::feed_answer{{reader.changes_since(follower.version())}}));
                    static_cast<void>(follower.apply(sent->tables.at(0)));
                }
                break;
            }
        }
        static_cast<void>(reader.apply(store.read()));
        static_cast<void>(follower.apply(reader.changes_since(follower.version())));
        RC_ASSERT(follower.changes_since(0).rows == store.read().rows);
        RC_ASSERT(follower.version() == store.version());
    }));
}
