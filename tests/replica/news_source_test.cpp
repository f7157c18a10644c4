#include "replica/news_source.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using replica::source_event;

namespace {

/// The source of one instance, i-0, in virtual time.
class source_world final : private replica::news_source_host {
  public:
    explicit source_world(const std::string& self, std::vector<core::socket_address> seeds = {})
        : source_{replica::news_source_settings{.self = core::instance_name{self},
                                                .domain = core::failure_domain_name{"a"},
                                                .seeds = std::move(seeds)},
                  *chart::library::embedded().load("news_source", replica::source_vocabulary()),
                  static_cast<replica::news_source_host&>(*this)}
    {
        source_.start(now_);
    }

    /// Lists i-0 .. of one domain; i-0 has most capacity, then i-1.
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

    /// The store answers for the first table, then for the others where they are asked for.
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

    void pass(core::duration time)
    {
        const core::instant end = now_ + time;
        for (auto due = source_.next_due(); due.has_value() && *due <= end;
             due = source_.next_due()) {
            now_ = *due;
            source_.on_time(now_);
        }
        now_ = end;
    }

    [[nodiscard]] bool reads_store() const { return source_.reads_store(); }

    replica::store_scope scope = replica::store_scope::nothing;
    bool answers = false;
    std::vector<std::string> asked;
    std::size_t news = 0;
    std::size_t given_up = 0;

  private:
    core::instant now_{};
    replica::news_source source_;

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
    void take_news() override { ++news; }
    void give_up() override { ++given_up; }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_reader_stays_with_the_store)
{
    source_world world{"i-0"};
    world.answer_from_store();
    world.list_members(20);
    world.pass(10s);
    BOOST_TEST(world.follows_store());
    BOOST_TEST(world.reads_store());
    BOOST_TEST(world.asked.empty());
}

BOOST_AUTO_TEST_CASE(others_leave_the_store_once_a_reader_has_answered)
{
    source_world world{"i-7"};
    world.answer_from_store();
    world.list_members(20);
    world.pass(1s);
    BOOST_TEST(world.asked.size() == 1U);
    BOOST_TEST(world.follows_store());
    world.raise(source_event::reader_answered);
    BOOST_TEST(!world.follows_store());
    BOOST_TEST(world.news == 1U);
    BOOST_TEST(world.asked.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_reader_is_replaced_in_time_for_a_configuration)
{
    source_world world{"i-7"};
    world.answer_from_store();
    world.list_members(20);
    world.pass(1s);
    world.raise(source_event::reader_answered);
    const std::string former = world.asked.back();
    world.pass(900ms);
    BOOST_TEST(world.given_up == 1U);
    BOOST_TEST(world.asked.back() != former);
    BOOST_TEST(!world.follows_store());
    // The second reader is silent too: the store is asked within 1.3 s of the last good answer.
    world.pass(400ms);
    BOOST_TEST(world.follows_store());
}

BOOST_AUTO_TEST_CASE(an_instance_without_the_store_turns_to_a_reader_and_comes_back)
{
    source_world world{"i-0"};
    world.answer_from_store();
    world.list_members(20);
    world.pass(100ms);
    world.lose_store();
    BOOST_TEST(!world.reads_store());
    BOOST_TEST(world.asked.size() == 1U);
    world.raise(source_event::reader_answered);
    for (int i = 0; i < 6; ++i) {
        world.pass(500ms);
        world.raise(source_event::reader_answered);
    }
    BOOST_TEST(world.follows_store());
    world.answer_from_store();
    BOOST_TEST(world.reads_store());
}

BOOST_AUTO_TEST_CASE(a_start_without_the_store_asks_the_seeds)
{
    source_world world{"i-0", {core::socket_address{"10.0.0.9", 9}}};
    world.lose_store();
    BOOST_TEST(world.asked.back() == "10.0.0.9:9");
    world.raise(source_event::reader_failed);
    BOOST_TEST(world.follows_store());
    world.pass(2s);
    BOOST_TEST(world.asked.size() == 2U);
}

BOOST_AUTO_TEST_CASE(no_reader_and_no_store_is_tried_again_and_again)
{
    source_world world{"i-0"};
    world.list_members(3);
    world.lose_store();
    world.raise(source_event::reader_failed);
    BOOST_TEST(world.asked.size() == 1U);
    world.pass(2s);
    BOOST_TEST(world.asked.size() == 2U);
    world.raise(source_event::reader_answered);
    BOOST_TEST(world.news == 1U);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_is_probed_with_one_table)
{
    source_world world{"i-7"};
    world.answer_from_store();
    world.list_members(20);
    world.pass(1s);
    world.raise(source_event::reader_answered);
    // The readers have lost the store and turn everybody away.
    world.raise(source_event::reader_failed);
    world.raise(source_event::reader_failed);
    BOOST_TEST((world.scope == replica::store_scope::first_table));
    const std::size_t asked = world.asked.size();
    for (int i = 0; i < 4; ++i) {
        world.lose_store();
        world.pass(250ms);
    }
    BOOST_TEST(world.asked.size() == asked);
    // It is back: a reader is asked before the other tables are read.
    world.pass(1s);
    world.answer_from_store();
    BOOST_TEST(world.asked.size() == asked + 1);
    BOOST_TEST((world.scope == replica::store_scope::first_table));
    world.raise(source_event::reader_answered);
    BOOST_TEST(!world.follows_store());
}

BOOST_AUTO_TEST_CASE(where_no_reader_serves_and_the_store_answers_all_tables_are_read)
{
    source_world world{"i-7"};
    world.answer_from_store();
    world.list_members(20);
    world.pass(1s);
    world.raise(source_event::reader_failed);
    world.raise(source_event::reader_failed);
    BOOST_TEST((world.scope == replica::store_scope::all_tables));
}
