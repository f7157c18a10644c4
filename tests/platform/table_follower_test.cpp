#include "platform/table_follower.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

class follower_world final : private platform::follower_host {
  public:
    follower_world()
        : follower_{
              platform::follower_settings{"op", 10ms, 100ms, 500ms},
              *chart::library::embedded().load("table_follower", platform::follower_vocabulary()),
              static_cast<platform::follower_host&>(*this)}
    {
        follower_.start(now_);
        follower_.follow(0, now_);
    }

    void follow(std::uint64_t known_version) { follower_.follow(known_version, now_); }
    void stop() { follower_.stop(now_); }

    void answer(int status, const std::string& rows, std::uint64_t version)
    {
        follower_.on_answer(status,
                            "{\"rows\":[" + rows + "],\"schema_version\":" +
                                std::to_string(version) + ",\"now_ms\":1,\"has_more\":false}",
                            now_);
    }

    void pass(core::duration time)
    {
        now_ += time;
        follower_.on_timer(now_);
    }

    std::vector<std::string> calls;
    std::size_t complete = 0;
    std::size_t changes = 0;
    std::size_t failures = 0;
    std::size_t cancelled = 0;

  private:
    core::instant now_{};
    platform::table_follower follower_;

    void send_call(const std::string& /*table*/, const http::request& sent) override
    {
        calls.push_back(sent.path);
    }
    void cancel_call(const std::string& /*table*/) override { ++cancelled; }
    void publish(replica::table_news news) override { ++(news.whole ? complete : changes); }
    void on_failure(const std::string& /*table*/) override { ++failures; }
};

constexpr const char* row = R"({"key":"config","value":"eA==","schema_version":3})";

} // namespace

BOOST_AUTO_TEST_CASE(a_table_is_read_and_then_followed)
{
    follower_world world;
    BOOST_TEST(world.calls.back().starts_with("/rows-get?table=op"));
    world.answer(200, row, 5);
    BOOST_TEST(world.complete == 1U);
    world.pass(10ms);
    BOOST_TEST(world.calls.back() == "/rows-feed?table=op&after=5&wait_ms=100");
    world.answer(200, row, 9);
    BOOST_TEST(world.changes == 1U);
    world.pass(10ms);
    BOOST_TEST(world.calls.back() == "/rows-feed?table=op&after=9&wait_ms=100");
}

BOOST_AUTO_TEST_CASE(after_a_lost_history_an_outdated_read_is_dropped)
{
    follower_world world;
    world.answer(200, row, 5);
    world.pass(10ms);
    world.answer(410, "", 0);
    BOOST_TEST(world.calls.back().starts_with("/rows-get"));
    world.answer(200, row, 4);
    BOOST_TEST(world.complete == 1U);
    world.pass(250ms);
    BOOST_TEST(world.calls.back().starts_with("/rows-feed?table=op&after=5"));
    world.answer(410, "", 0);
    world.answer(200, row, 6);
    BOOST_TEST(world.complete == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_call_is_given_up_and_made_again_after_a_pause)
{
    follower_world world;
    world.pass(500ms);
    BOOST_TEST(world.calls.size() == 1U);
    world.pass(250ms);
    BOOST_TEST(world.calls.size() == 2U);
    BOOST_TEST(world.failures == 1U);
    // The store may be slow: the second call is given twice the time.
    world.pass(999ms);
    BOOST_TEST(world.failures == 1U);
    world.pass(1ms);
    BOOST_TEST(world.failures == 2U);
    world.pass(499ms);
    BOOST_TEST(world.calls.size() == 2U);
    world.pass(1ms);
    BOOST_TEST(world.calls.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_table_that_another_instance_hands_on_is_followed_from_its_version)
{
    follower_world world;
    world.answer(200, row, 5);
    world.stop();
    BOOST_TEST(world.cancelled == 1U);
    world.pass(1s);
    BOOST_TEST(world.calls.size() == 1U);
    world.follow(9);
    BOOST_TEST(world.calls.back() == "/rows-feed?table=op&after=9&wait_ms=100");
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_no_table_changes_nothing)
{
    follower_world world;
    world.answer(503, "", 9);
    BOOST_TEST(world.complete == 0U);
    world.pass(250ms);
    BOOST_TEST(world.calls.size() == 2U);
}
