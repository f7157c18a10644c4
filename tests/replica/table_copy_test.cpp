#include "replica/table_copy.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "replica/feed_codec.hpp"

using namespace cyclamen;
using replica::row;
using replica::table_copy;
using replica::table_update;

namespace {

/// @return a version of the first era
constexpr core::store_version at(std::uint64_t number)
{
    return core::store_version{1, number};
}

table_update changes(core::store_version version, std::vector<row> rows, bool complete = false)
{
    return table_update{"t", version, complete, std::move(rows)};
}

/// The table in the store, with all its changes.
class source_table {
  public:
    void change(const std::string& key, bool removed)
    {
        version_ = core::store_version{version_.era(), version_.number() + 1};
        if (removed && !rows_.contains(key)) {
            return;
        }
        const row changed{key, core::to_string(version_), version_, removed};
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

    [[nodiscard]] table_update feed(const core::store_version& after) const
    {
        std::vector<row> rows;
        for (const row& each : log_) {
            if (each.version > after) {
                rows.push_back(each);
            }
        }
        return changes(version_, std::move(rows));
    }

    [[nodiscard]] const core::store_version& version() const { return version_; }

    void keep_copy()
    {
        kept_rows_ = rows_;
        kept_number_ = version_.number();
    }

    /// Goes back to the last copy, and starts a new era.
    void restore()
    {
        version_ = core::store_version{version_.era() + 1, kept_number_};
        log_.clear();
        rows_.clear();
        for (const auto& [key, kept] : kept_rows_) {
            rows_.emplace(key,
                          row{key, kept.value,
                              core::store_version{version_.era(), kept.version.number()}, false});
        }
        kept_rows_ = rows_;
    }

  private:
    std::map<std::string, row> rows_;
    std::vector<row> log_;
    core::store_version version_{1, 1};
    std::map<std::string, row> kept_rows_;
    std::uint64_t kept_number_ = 1;
};

} // namespace

BOOST_AUTO_TEST_CASE(only_the_newest_state_of_a_row_is_applied)
{
    table_copy copy{"t"};
    BOOST_REQUIRE(copy.apply(changes(at(1), {{"b", "1", at(1), false}}, true)).has_value());
    const auto update = copy.apply(changes(at(4), {{"a", "1", at(2), false},
                                                   {"a", "2", at(3), true},
                                                   {"b", "2", at(4), true},
                                                   {"b", "1", at(2), false}}));
    BOOST_REQUIRE(update.has_value());
    BOOST_REQUIRE(update->update.rows.size() == 2U);
    BOOST_TEST(update->update.rows.at(0).removed);
    BOOST_TEST(update->update.rows.at(1).removed);
}

BOOST_AUTO_TEST_CASE(older_updates_and_rows_are_dropped)
{
    table_copy copy{"t"};
    BOOST_TEST(copy.apply(changes(at(5), {{"a", "new", at(5), false}}, true))->update.complete);
    BOOST_TEST(!copy.apply(changes(at(4), {{"a", "old", at(3), false}}, true)).has_value());
    BOOST_TEST(!copy.apply(changes(at(6), {{"a", "old", at(3), false}})).has_value());
    BOOST_TEST(copy.changes_since({}).rows.at(0).value == "new");
    BOOST_TEST((copy.version() == at(6)));
}

BOOST_AUTO_TEST_CASE(complete_update_removes_missing_rows)
{
    table_copy copy{"t"};
    BOOST_TEST(copy.apply(changes(at(2), {{"a", "", at(1), false}, {"b", "", at(2), false}}, true))
                   .has_value());
    const auto update = copy.apply(changes(at(9), {{"b", "", at(2), false}}, true));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(!update->update.complete);
    BOOST_REQUIRE(update->update.rows.size() == 1U);
    BOOST_TEST(update->update.rows.at(0).key == "a");
    BOOST_TEST(update->update.rows.at(0).removed);
    BOOST_TEST(copy.has_changes_since(at(2)));
    BOOST_TEST(!copy.has_changes_since(at(9)));
}

BOOST_AUTO_TEST_CASE(complete_table_is_returned_if_changes_are_no_longer_known)
{
    table_copy copy{"t", 1};
    BOOST_TEST(copy.apply(changes(at(1), {{"a", "", at(1), false}}, true)).has_value());
    BOOST_TEST(
        copy.apply(changes(at(5), {{"a", "", at(4), true}, {"b", "", at(5), false}})).has_value());
    BOOST_TEST(!copy.changes_since(at(1)).complete);
    BOOST_TEST(copy.apply(changes(at(6), {{"b", "", at(6), true}})).has_value());
    BOOST_TEST(copy.changes_since(at(1)).complete);
    BOOST_TEST(!copy.changes_since(at(4)).complete);
}

BOOST_AUTO_TEST_CASE(rows_newer_than_the_version_are_not_reported_as_changes)
{
    table_copy copy{"t"};
    BOOST_TEST(copy.apply(changes(at(5), {{"a", "", at(5), false}, {"z", "", at(7), false}}, true))
                   .has_value());
    BOOST_TEST(!copy.has_changes_since(at(5)));
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
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
            case 1:
                store.change(key, *rc::gen::arbitrary<bool>());
                break;
            case 5:
                store.keep_copy();
                break;
            case 6:
                store.restore();
                break;
            case 2:
                static_cast<void>(reader.apply(store.read()));
                break;
            case 3:
                if (reader.version().era() == store.version().era()) {
                    static_cast<void>(reader.apply(store.feed(reader.version())));
                }
                break;
            default:
                if (reader.version() > core::store_version{}) {
                    const auto sent = replica::decode_feed_answer(replica::encode(
                        replica::feed_answer{{reader.changes_since(follower.version())}}));
                    static_cast<void>(follower.apply(sent->tables.at(0)));
                }
                break;
            }
        }
        static_cast<void>(reader.apply(store.read()));
        static_cast<void>(follower.apply(reader.changes_since(follower.version())));
        RC_ASSERT(follower.changes_since({}).rows == store.read().rows);
        RC_ASSERT(follower.version() == store.version());
    }));
}

BOOST_AUTO_TEST_CASE(rows_that_a_restored_store_has_written_anew_replace_those_that_it_has_lost)
{
    table_copy copy{"t"};
    BOOST_REQUIRE(
        copy.apply(changes(at(9), {{"a", "lost", at(9), false}, {"b", "", at(2), false}}, true))
            .has_value());
    // Changes alone don't tell which rows are lost.
    BOOST_TEST(!copy.apply(changes({2, 7}, {{"a", "new", {2, 7}, false}})).has_value());
    const auto change = copy.apply(changes({2, 7}, {{"a", "new", {2, 7}, false}}, true));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->restored);
    BOOST_REQUIRE(change->update.rows.size() == 2U);
    BOOST_TEST(change->update.rows.at(0).value == "new");
    BOOST_TEST(change->update.rows.at(1).key == "b");
    BOOST_TEST(change->update.rows.at(1).removed);
    // An instance of the earlier era can't say which rows it has that are lost.
    BOOST_TEST(copy.has_changes_since(at(100)));
    BOOST_TEST(copy.changes_since(at(100)).complete);
}

BOOST_AUTO_TEST_CASE(answers_of_the_store_before_its_restore_are_dropped)
{
    table_copy copy{"t"};
    BOOST_REQUIRE(copy.apply(changes({2, 3}, {{"a", "new", {2, 3}, false}}, true)).has_value());
    BOOST_TEST(!copy.apply(changes(at(50), {{"a", "old", at(50), false}}, true)).has_value());
    BOOST_TEST(copy.changes_since({}).rows.at(0).value == "new");
}

BOOST_AUTO_TEST_CASE(a_removed_row_that_a_restored_store_has_again_is_reported_as_revived)
{
    table_copy copy{"t"};
    BOOST_REQUIRE(copy.apply(changes(at(1), {{"a", "", at(1), false}}, true)).has_value());
    BOOST_REQUIRE(copy.apply(changes(at(2), {{"a", "", at(2), true}})).has_value());
    const auto change = copy.apply(changes({2, 1}, {{"a", "", {2, 1}, false}}, true));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->revived.contains("a"));
}
