#include "table/table_client.hpp"

#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "table/memory_table.hpp"

using namespace cyclamen;

namespace {

struct recording_listener final : table::table_listener {
    std::vector<api::table_event> answers;
    void on_table_answer(const api::table_event& answer, core::instant /*now*/) override
    {
        answers.push_back(answer);
    }
};

/// A table client whose commands are answered by an in-memory table when the test asks for it.
struct fixture {
    core::manual_clock clock;
    table::memory_table table;
    std::vector<api::table_command> sent;
    table::table_client client{
        {}, [this](api::table_command command) { sent.push_back(std::move(command)); }};
    recording_listener first;
    recording_listener second;

    api::table_request insert(const char* row, recording_listener& listener)
    {
        return client.commit({api::row_write{{"t", row}, "x", api::row_version{0}}}, listener,
                             clock.now());
    }

    void flush() { client.on_timer(clock.now()); }

    void answer_all()
    {
        const auto commands = std::exchange(sent, {});
        for (const api::table_command& each : commands) {
            client.on_event(table.apply(each), clock.now());
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(commits_of_one_flush_period_are_sent_as_one_transaction, fixture)
{
    insert("a", first);
    flush();
    BOOST_TEST(sent.size() == 1U);
    const auto b = insert("b", first);
    const auto c = insert("c", second);
    flush();
    BOOST_TEST(sent.size() == 1U);
    clock.advance(std::chrono::milliseconds{100});
    BOOST_TEST((client.next_deadline() == clock.now()));
    flush();
    BOOST_TEST(sent.size() == 2U);
    answer_all();
    BOOST_TEST((first.answers.back() == api::table_event{api::table_committed{b}}));
    BOOST_TEST((second.answers.back() == api::table_event{api::table_committed{c}}));
    BOOST_TEST(client.transactions() == 2U);
    BOOST_TEST(client.commits() == 3U);
    BOOST_TEST(!client.next_deadline().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_conflict_affects_only_the_commit_that_it_belongs_to, fixture)
{
    std::ignore = table.apply(api::table_commit{{}, {{{"t", "a"}, "old", std::nullopt}}});
    const auto a = insert("a", first);
    const auto b = insert("b", second);
    flush();
    answer_all();
    BOOST_TEST((first.answers.back() ==
                api::table_event{
                    api::table_conflict{a, {api::row{{"t", "a"}, "old", api::row_version{1}}}}}));
    BOOST_TEST(second.answers.empty());
    answer_all();
    BOOST_TEST((second.answers.back() == api::table_event{api::table_committed{b}}));
}

BOOST_FIXTURE_TEST_CASE(commits_of_the_same_row_keep_their_order, fixture)
{
    const auto a = insert("a", first);
    const auto second_commit = insert("a", second);
    flush();
    answer_all();
    BOOST_TEST((first.answers.back() == api::table_event{api::table_committed{a}}));
    BOOST_TEST(second.answers.empty());
    clock.advance(std::chrono::milliseconds{100});
    flush();
    answer_all();
    BOOST_TEST((std::get<api::table_conflict>(second.answers.back()).request == second_commit));
}

BOOST_FIXTURE_TEST_CASE(every_listener_of_a_failed_transaction_is_notified_once, fixture)
{
    const auto a = insert("a", first);
    const auto b = insert("b", second);
    flush();
    const auto transaction = std::get<api::table_commit>(sent.front()).request;
    client.on_event(api::table_failed{transaction, true, "lost"}, clock.now());
    client.on_event(api::table_failed{transaction, true, "late"}, clock.now());
    BOOST_TEST(
        (first.answers == std::vector<api::table_event>{api::table_failed{a, true, "lost"}}));
    BOOST_TEST(
        (second.answers == std::vector<api::table_event>{api::table_failed{b, true, "lost"}}));
}

BOOST_FIXTURE_TEST_CASE(restore_listeners_hear_of_each_later_era_once, fixture)
{
    struct counter final : table::restore_listener {
        void on_table_restored(core::instant /*now*/) override { ++count; }
        int count = 0;
    };
    counter restores;
    client.add_restore_listener(restores);
    client.read({{"t", "a"}}, first);
    answer_all();
    BOOST_TEST(restores.count == 0);
    BOOST_REQUIRE(table.restore(0));
    client.read({{"t", "a"}}, first);
    // An answer from before the restore that arrives after a later one begins no era.
    const api::table_event late = api::table_rows{client.read({{"t", "a"}}, first), {}};
    answer_all();
    client.on_event(late, clock.now());
    insert("a", first);
    flush();
    answer_all();
    BOOST_TEST(restores.count == 1);
}
