#include "replica/replica_task.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"
#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

constexpr core::duration longest_wait = 10s;

/// Hands news over to the test's thread.
class news_channel final : public replica::news_listener {
  public:
    void on_news(const replica::table_news& news) override
    {
        BOOST_REQUIRE(channel_.post(news).ok());
    }

    replica::table_news take()
    {
        auto news = channel_.take(longest_wait);
        BOOST_REQUIRE(news.has_value());
        return *news;
    }

  private:
    task::channel<replica::table_news> channel_;
};

/// An instance that keeps tables; the test plays its store.
class instance {
  public:
    instance(std::string name, const core::socket_address& feed)
        : name_{std::move(name)}, feed_{feed},
          store_{std::make_shared<task::channel<replica::follow_tables>>()},
          task_{host_,
                replica::replica_settings{.tables = {"op", "servers"},
                                          .feed = feed,
                                          .source = {.self = core::instance_name{name_},
                                                     .domain = core::failure_domain_name{"a"},
                                                     .settle_time = 50ms,
                                                     .search_pause = 100ms}},
                *chart::library::embedded().load("news_source", replica::source_vocabulary()),
                news_}
    {
        task_.connect(store_);
        host_.add(task_);
        BOOST_REQUIRE(host_.start().ok());
    }
    ~instance() { host_.stop(); }

    void tell(replica::replica_message message)
    {
        const absl::Status posted = task_.inbox()->post(std::move(message));
        BOOST_REQUIRE(posted.ok());
    }

    void tell_store(const std::string& table, std::uint64_t version, bool whole,
                    std::vector<replica::row> rows)
    {
        tell(replica::store_told{replica::table_news{table, version, whole, std::move(rows)}});
    }

    /// Waits until a number of tables is followed at the store.
    void await_store(std::size_t tables)
    {
        for (;;) {
            const auto command = store_->take(longest_wait);
            BOOST_REQUIRE(command.has_value());
            if (command->wanted.size() == tables) {
                return;
            }
        }
    }

    [[nodiscard]] replica::feed_peer peer(double capacity) const
    {
        return replica::feed_peer{core::instance_name{name_}, core::failure_domain_name{"a"}, feed_,
                                  capacity};
    }

    news_channel& news() { return news_; }

  private:
    const std::string name_;
    const core::socket_address feed_;
    news_channel news_;
    std::shared_ptr<task::channel<replica::follow_tables>> store_;
    task::task_host host_;
    replica::replica_task task_;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_instance_has_its_tables_from_one_that_reads_the_store)
{
    instance reader{"i-0", test::free_address()};
    instance second{"i-1", test::free_address()};
    instance follower{"i-2", test::free_address()};
    const std::vector<replica::feed_peer> members{reader.peer(1.0), second.peer(0.9),
                                                  follower.peer(0.1)};
    for (instance* each : {&reader, &second, &follower}) {
        each->tell_store("op", 3, true, {{"config", "one", 3, false}});
        each->tell_store("servers", 3, true, {});
        BOOST_TEST(each->news().take().whole);
        BOOST_TEST(each->news().take().whole);
        each->tell(replica::peers_listed{true, members, {}});
    }
    follower.await_store(0);
    for (instance* each : {&reader, &second}) {
        each->tell_store("op", 5, false, {{"config", "two", 5, false}});
    }
    const replica::table_news heard = follower.news().take();
    BOOST_TEST(heard.rows.at(0).value == "two");
    BOOST_TEST(!heard.whole);

    // Both readers lose the store: the follower turns to the store itself.
    reader.tell(replica::store_failed{"op"});
    second.tell(replica::store_failed{"op"});
    follower.await_store(1);
}
