#include "table/memory_table.hpp"

#include <boost/test/unit_test.hpp>

#include "http/table_codec.hpp"

using namespace cyclamen;

namespace {

constexpr api::table_request request_number{7};

api::row_write write(const char* row, const char* value,
                     std::optional<std::uint64_t> expected = std::nullopt)
{
    return api::row_write{{"t", row},
                          value,
                          expected.has_value() ? std::optional{api::row_version{*expected}}
                                               : std::optional<api::row_version>{}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_failed_condition_leaves_all_rows_unchanged)
{
    table::memory_table table;
    BOOST_TEST(
        (table.apply(api::table_commit{request_number, {write("a", "1", 0), write("b", "1", 0)}}) ==
         api::table_event{api::table_committed{request_number}}));
    const auto conflict =
        table.apply(api::table_commit{request_number, {write("a", "2", 1), write("b", "2", 0)}});
    BOOST_TEST(
        (conflict == api::table_event{api::table_conflict{
                         request_number, {api::row{{"t", "b"}, "1", api::row_version{1}}}}}));
    const auto rows = table.apply(api::table_read{request_number, {{"t", "a"}, {"t", "absent"}}});
    BOOST_TEST((rows == api::table_event{api::table_rows{
                            request_number, {api::row{{"t", "a"}, "1", api::row_version{1}}}}}));
}

BOOST_AUTO_TEST_CASE(a_scan_returns_the_rows_with_the_prefix_in_order)
{
    table::memory_table table;
    std::ignore = table.apply(
        api::table_commit{request_number, {write("b/2", "x"), write("b/1", "y"), write("c", "z")}});
    const auto rows = table.apply(api::table_scan{request_number, "t", "b/"});
    BOOST_TEST((rows == api::table_event{
                            api::table_rows{request_number,
                                            {api::row{{"t", "b/1"}, "y", api::row_version{1}},
                                             api::row{{"t", "b/2"}, "x", api::row_version{1}}}}}));
}

BOOST_AUTO_TEST_CASE(a_restored_table_has_lost_the_later_transactions_and_begins_an_era)
{
    table::memory_table table;
    std::ignore = table.apply(api::table_commit{request_number, {write("a", "1")}});
    std::ignore =
        table.apply(api::table_commit{request_number, {write("a", "2"), write("b", "1")}});
    std::ignore = table.apply(api::table_commit{request_number, {write("b", "2")}});
    BOOST_TEST(!table.restore(4));
    BOOST_TEST(table.restore(1));
    BOOST_TEST(table.transactions() == 1U);
    const api::table_era era{1};
    BOOST_TEST((table.apply(api::table_scan{request_number, "t", ""}) ==
                api::table_event{api::table_rows{
                    request_number, {api::row{{"t", "a"}, "1", api::row_version{1, era}}}, era}}));
    BOOST_TEST((table.apply(api::table_commit{request_number, {write("b", "3", 0)}}) ==
                api::table_event{api::table_committed{request_number, era}}));
}

BOOST_AUTO_TEST_CASE(a_version_from_before_a_restore_does_not_overwrite_a_later_row)
{
    table::memory_table table;
    std::ignore = table.apply(api::table_commit{request_number, {write("a", "lost", 0)}});
    BOOST_TEST(table.restore(0));
    std::ignore = table.apply(api::table_commit{request_number, {write("a", "later", 0)}});
    const auto answer = table.apply(api::table_commit{request_number, {write("a", "stale", 1)}});
    const api::table_era era{1};
    BOOST_TEST(
        (answer ==
         api::table_event{api::table_conflict{
             request_number, {api::row{{"t", "a"}, "later", api::row_version{1, era}}}, era}}));
}

BOOST_AUTO_TEST_CASE(a_row_that_was_absent_before_a_restore_may_be_absent_no_longer)
{
    table::memory_table table;
    BOOST_TEST(table.restore(0));
    const api::row_write stale{{"t", "a"}, "stale", api::row_version{0, api::table_era{0}}};
    const api::row_write current{{"t", "a"}, "new", api::row_version{0, api::table_era{1}}};
    BOOST_TEST(table.restore(0));
    BOOST_TEST((std::holds_alternative<api::table_conflict>(
        table.apply(api::table_commit{request_number, {current}}))));
    // A version without an era says that the row must be absent in whichever era.
    BOOST_TEST((std::holds_alternative<api::table_committed>(
        table.apply(api::table_commit{request_number, {stale}}))));
}

BOOST_AUTO_TEST_CASE(commands_and_answers_round_trip_through_the_codec)
{
    const std::string bytes{"\0\xff binary", 9};
    const api::table_era era{2};
    const api::table_commit commit{request_number,
                                   {api::row_write{{"t", "a"}, bytes, api::row_version{3}},
                                    api::row_write{{"t", "c"}, "", api::row_version{3, era}},
                                    api::row_write{{"t", "b"}, "", std::nullopt}}};
    for (const api::table_command& command :
         {api::table_command{commit},
          api::table_command{api::table_read{request_number, {{"t", "a"}}}},
          api::table_command{api::table_scan{request_number, "t", "p"}}}) {
        const auto decoded =
            http::decode_table_command(request_number, http::encode_table_command(command));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == command));
    }
    const api::row row{{"t", "a"}, bytes, api::row_version{4}};
    const auto expect_round_trip = [](const api::table_command& command,
                                      const api::table_event& event) {
        BOOST_TEST((http::decode_table_event(command, http::table_status_of(event),
                                             http::encode_table_event(event)) == event));
    };
    expect_round_trip(commit, api::table_committed{request_number});
    expect_round_trip(commit, api::table_conflict{request_number, {row}});
    expect_round_trip(api::table_scan{request_number, "t", ""},
                      api::table_rows{request_number, {row}});
    const api::row restored{{"t", "a"}, bytes, api::row_version{4, era}};
    expect_round_trip(commit, api::table_committed{request_number, era});
    expect_round_trip(commit, api::table_conflict{request_number, {restored}, era});
    expect_round_trip(api::table_scan{request_number, "t", ""},
                      api::table_rows{request_number, {restored}, era});
}

BOOST_AUTO_TEST_CASE(the_status_decides_whether_a_write_may_have_been_applied)
{
    const api::table_command commit = api::table_commit{request_number, {write("a", "1")}};
    const auto may_be_applied = [&](int status) {
        return std::get<api::table_failed>(http::decode_table_event(commit, status, "{}"))
            .may_be_applied;
    };
    BOOST_TEST(!may_be_applied(503));
    BOOST_TEST(!may_be_applied(400));
    BOOST_TEST(may_be_applied(500));
    BOOST_TEST(may_be_applied(504));
}
