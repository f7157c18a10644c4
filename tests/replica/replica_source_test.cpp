#include "replica/replica_source.hpp"

#include <set>

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using replica::source_event;

namespace {

/// The source of one instance in virtual time.
class source_fixture final : private replica::replica_source_host {
  public:
    explicit source_fixture(const std::string& self, std::vector<core::socket_address> seeds = {})
        : source_{replica::replica_source_settings{.self = core::instance_name{self},
                                                   .domain = core::failure_domain_name{"a"},
                                                   .feed = core::socket_address{"10.0.0.1", 99},
                                                   .seeds = std::move(seeds)},
                  *chart::library::embedded().load("news_source", replica::source_vocabulary()),
                  static_cast<replica::replica_source_host&>(*this)}
    {
        source_.start(now_);
    }

    /// Lists i-0, i-1, ... of one failure domain, by descending capacity.
    void list_members(int count)
    {
        std::vector<replica::feed_peer> members;
        for (int i = 0; i < count; ++i) {
            members.push_back(replica::feed_peer{
                core::instance_name{"i-" + std::to_string(i)}, core::failure_domain_name{"a"},
                core::socket_address{"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
                1.0 / (i + 1)});
        }
        source_.set_members(std::move(members));
    }

    void raise(source_event event) { source_.raise(event, now_); }

    /// The store answers for the first table, and for the others if they are followed.
    void answer_from_store()
    {
        answers = true;
        raise(source_event::store_answered);
        if (scope == replica::store_scope::all_tables) {
            raise(source_event::tables_complete);
        }
    }

    void lose_store()
    {
        answers = false;
        raise(source_event::store_lost);
    }

    [[nodiscard]] bool follows_store() const { return scope != replica::store_scope::nothing; }

    void advance(core::duration time)
    {
        const core::instant end = now_ + time;
        for (auto deadline = source_.next_deadline(); deadline.has_value() && *deadline <= end;
             deadline = source_.next_deadline()) {
            now_ = *deadline;
            source_.on_timer(now_);
        }
        now_ = end;
    }

    [[nodiscard]] bool reads_store() const { return source_.reads_store(); }

    replica::store_scope scope = replica::store_scope::nothing;
    bool answers = false;
    std::vector<std::string> asked;
    std::size_t updates = 0;
    std::size_t cancelled = 0;

  private:
    core::instant now_{};
    replica::replica_source source_;

    void follow_store(replica::store_scope wanted) override
    {
        scope = wanted;
        answers = answers && follows_store();
    }
    [[nodiscard]] bool store_answers() const override { return answers; }
    void ask(const replica::feed_peer& reader, core::duration /*wait*/) override
    {
        asked.push_back(core::to_string(reader.feed));
    }
    void apply_answer() override { ++updates; }
    void cancel_question() override { ++cancelled; }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_reader_stays_with_the_store)
{
    source_fixture fixture{"i-0"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.advance(10s);
    BOOST_TEST(fixture.follows_store());
    BOOST_TEST(fixture.reads_store());
    BOOST_TEST(fixture.asked.empty());
}

BOOST_AUTO_TEST_CASE(other_instances_leave_the_store_once_a_reader_has_answered)
{
    source_fixture fixture{"i-7"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.advance(1s);
    BOOST_TEST(fixture.asked.size() == 1U);
    BOOST_TEST(fixture.follows_store());
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(!fixture.follows_store());
    BOOST_TEST(fixture.updates == 1U);
    BOOST_TEST(fixture.asked.size() == 2U);
}

BOOST_AUTO_TEST_CASE(unresponsive_reader_is_replaced_within_the_time_limit_of_a_configuration)
{
    source_fixture fixture{"i-7"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.advance(1s);
    fixture.raise(source_event::reader_answered);
    const std::string former = fixture.asked.back();
    fixture.advance(900ms);
    BOOST_TEST(fixture.cancelled == 1U);
    BOOST_TEST(fixture.asked.back() != former);
    BOOST_TEST(!fixture.follows_store());
    // The second reader is unresponsive too: the store is asked within 1.3 s of the last answer.
    fixture.advance(400ms);
    BOOST_TEST(fixture.follows_store());
}

BOOST_AUTO_TEST_CASE(reader_that_loses_the_store_follows_another_reader_and_returns)
{
    source_fixture fixture{"i-0"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.advance(100ms);
    fixture.lose_store();
    BOOST_TEST(!fixture.reads_store());
    BOOST_TEST(fixture.asked.size() == 1U);
    fixture.raise(source_event::reader_answered);
    for (int i = 0; i < 6; ++i) {
        fixture.advance(500ms);
        fixture.raise(source_event::reader_answered);
    }
    BOOST_TEST(fixture.follows_store());
    fixture.answer_from_store();
    BOOST_TEST(fixture.reads_store());
}

BOOST_AUTO_TEST_CASE(a_start_without_the_store_asks_the_seeds)
{
    source_fixture fixture{"i-0", {core::socket_address{"10.0.0.9", 9}}};
    fixture.lose_store();
    BOOST_TEST(fixture.asked.back() == "10.0.0.9:9");
    fixture.raise(source_event::reader_failed);
    BOOST_TEST(fixture.follows_store());
    fixture.advance(2s);
    BOOST_TEST(fixture.asked.size() == 2U);
}

BOOST_AUTO_TEST_CASE(readers_are_retried_while_neither_store_nor_readers_answer)
{
    source_fixture fixture{"i-0"};
    fixture.list_members(3);
    fixture.lose_store();
    const std::string reader = fixture.asked.back();
    fixture.raise(source_event::reader_failed);
    BOOST_TEST(fixture.asked.size() == 2U);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST(fixture.asked.size() == 2U);
    fixture.advance(2s);
    BOOST_TEST(fixture.asked.size() == 3U);
    BOOST_TEST(fixture.asked.back() == reader);
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(fixture.updates == 1U);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_is_probed_with_one_table)
{
    source_fixture fixture{"i-7"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.advance(1s);
    fixture.raise(source_event::reader_answered);
    // The readers have lost the store and reject all queries.
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST((fixture.scope == replica::store_scope::first_table));
    const std::size_t asked = fixture.asked.size();
    for (int i = 0; i < 4; ++i) {
        fixture.lose_store();
        fixture.advance(250ms);
    }
    BOOST_TEST(fixture.asked.size() == asked);
    // It is back: a reader is asked before the other tables are read.
    fixture.advance(1s);
    fixture.answer_from_store();
    BOOST_TEST(fixture.asked.size() == asked + 1);
    BOOST_TEST((fixture.scope == replica::store_scope::first_table));
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(!fixture.follows_store());
}

BOOST_AUTO_TEST_CASE(all_tables_are_read_from_the_store_if_no_reader_serves)
{
    source_fixture fixture{"i-7"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.advance(1s);
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST((fixture.scope == replica::store_scope::all_tables));
}

BOOST_AUTO_TEST_CASE(other_instances_are_asked_while_neither_the_store_nor_a_reader_answers)
{
    source_fixture fixture{"i-7"};
    fixture.list_members(20);
    fixture.lose_store();
    const std::set<std::string> readers{"10.0.0.1:1", "10.0.0.1:2"};
    std::set<std::string> others;
    // Both readers are asked in each search, and three others that differ from search to search.
    for (int search = 0; search < 6; ++search) {
        for (int i = 0; i < 5; ++i) {
            BOOST_TEST(readers.contains(fixture.asked.back()) == (i < 2));
            if (i >= 2) {
                others.insert(fixture.asked.back());
            }
            fixture.raise(source_event::reader_failed);
        }
        BOOST_TEST(fixture.follows_store());
        fixture.advance(2s);
    }
    BOOST_TEST(others.size() == 17U);
}

BOOST_AUTO_TEST_CASE(an_instance_that_serves_others_while_no_reader_does_is_kept_as_the_source)
{
    source_fixture fixture{"i-7"};
    fixture.list_members(20);
    fixture.lose_store();
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    const std::string source = fixture.asked.back();
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(fixture.asked.back() == source);
    // The readers are tried again now and then, and the source after them.
    fixture.advance(500ms);
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(fixture.asked.back() == source);
    for (int i = 0; i < 3; ++i) {
        fixture.advance(500ms);
        fixture.raise(source_event::reader_answered);
    }
    BOOST_TEST(fixture.asked.back() != source);
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST(fixture.asked.back() == source);
}

BOOST_AUTO_TEST_CASE(an_instance_keeps_serving_while_it_looks_for_a_reader)
{
    source_fixture fixture{"i-7"};
    fixture.answer_from_store();
    fixture.list_members(20);
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    fixture.answer_from_store();
    BOOST_TEST(fixture.reads_store());
    const std::size_t asked = fixture.asked.size();
    fixture.advance(2s);
    // Only readers are asked, so that two instances that read the store don't turn to each other.
    BOOST_TEST(fixture.asked.size() > asked);
    BOOST_TEST(fixture.reads_store());
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST(fixture.reads_store());
    BOOST_TEST(fixture.asked.size() == asked + 2);
}

BOOST_AUTO_TEST_CASE(while_no_instance_is_listed_only_seeds_read_all_tables)
{
    source_fixture seed{"i-0", {core::socket_address{"10.0.0.1", 99}}};
    seed.answer_from_store();
    BOOST_TEST((seed.scope == replica::store_scope::all_tables));

    source_fixture other{"i-1", {core::socket_address{"10.0.0.9", 9}}};
    other.answer_from_store();
    BOOST_TEST((other.scope == replica::store_scope::first_table));
    BOOST_TEST(other.asked.back() == "10.0.0.9:9");
    other.raise(source_event::reader_answered);
    BOOST_TEST(!other.follows_store());
    // It does not return to the store as long as nobody is listed.
    other.advance(500ms);
    other.raise(source_event::reader_answered);
    BOOST_TEST(!other.follows_store());
}

BOOST_AUTO_TEST_CASE(readers_that_do_not_serve_yet_are_awaited_before_the_store_is_read)
{
    source_fixture fixture{"i-7"};
    fixture.list_members(20);
    fixture.answer_from_store();
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST((fixture.scope == replica::store_scope::first_table));
    const std::size_t asked = fixture.asked.size();
    fixture.advance(250ms);
    BOOST_TEST(fixture.asked.size() == asked + 1);
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(!fixture.follows_store());
}

BOOST_AUTO_TEST_CASE(all_tables_are_read_if_no_reader_serves_within_the_time_limit)
{
    source_fixture fixture{"i-7"};
    fixture.list_members(20);
    fixture.answer_from_store();
    for (int i = 0; i < 8 && fixture.scope != replica::store_scope::all_tables; ++i) {
        fixture.raise(source_event::reader_failed);
        fixture.raise(source_event::reader_failed);
        fixture.advance(250ms);
    }
    BOOST_TEST((fixture.scope == replica::store_scope::all_tables));
}

BOOST_AUTO_TEST_CASE(a_new_reader_turns_to_the_store_at_once_unless_it_lost_it)
{
    source_fixture fixture{"i-0", {core::socket_address{"10.0.0.9", 9}}};
    fixture.answer_from_store();
    fixture.raise(source_event::reader_answered);
    fixture.list_members(20);
    fixture.raise(source_event::reader_answered);
    BOOST_TEST((fixture.scope == replica::store_scope::first_table));
}

BOOST_AUTO_TEST_CASE(the_store_is_not_probed_while_the_former_source_can_still_be_asked)
{
    source_fixture fixture{"i-7", {core::socket_address{"10.0.0.9", 9}}};
    fixture.answer_from_store();
    fixture.raise(source_event::reader_answered);
    // The readers of the list don't serve yet; the seed that was followed does.
    fixture.list_members(20);
    for (int i = 0; i < 4; ++i) {
        fixture.advance(500ms);
        fixture.raise(source_event::reader_answered);
    }
    BOOST_TEST(fixture.asked.back() != "10.0.0.9:9");
    fixture.raise(source_event::reader_failed);
    fixture.raise(source_event::reader_failed);
    BOOST_TEST(!fixture.follows_store());
    BOOST_TEST(fixture.asked.back() == "10.0.0.9:9");
}

BOOST_AUTO_TEST_CASE(an_instance_whose_readers_change_does_not_read_all_tables)
{
    source_fixture fixture{"i-7", {core::socket_address{"10.0.0.9", 9}}};
    fixture.answer_from_store();
    fixture.raise(source_event::reader_answered);
    // The seed is no reader once instances are listed, and the readers don't serve yet.
    fixture.list_members(20);
    fixture.raise(source_event::reader_failed);
    fixture.answer_from_store();
    BOOST_TEST((fixture.scope == replica::store_scope::first_table));
    fixture.advance(250ms);
    BOOST_TEST(fixture.asked.back() != "10.0.0.9:9");
    fixture.raise(source_event::reader_answered);
    BOOST_TEST(!fixture.follows_store());
}
