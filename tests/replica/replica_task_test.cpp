#include "replica/replica_task.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"
#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

constexpr core::duration max_wait = 10s;

/// Passes updates to the thread of the test.
class update_channel final : public replica::replica_listener {
  public:
    void on_update(const replica::table_update& update) override
    {
        BOOST_REQUIRE(channel_.post(update).ok());
    }

    void on_restored(const replica::table_update& restored) override
    {
        BOOST_REQUIRE(restores_.post(restored).ok());
    }

    void on_confirmed(const core::instance_name& source, core::instant /*at*/) override
    {
        BOOST_REQUIRE(confirmations_.post(source).ok());
    }

    replica::table_update take()
    {
        auto update = channel_.take(max_wait);
        BOOST_REQUIRE(update.has_value());
        return *update;
    }

    /// @return the next source that is reported to have confirmed the first table
    core::instance_name take_confirmation()
    {
        auto source = confirmations_.take(max_wait);
        BOOST_REQUIRE(source.has_value());
        return *source;
    }

    replica::table_update take_restore()
    {
        auto restored = restores_.take(max_wait);
        BOOST_REQUIRE(restored.has_value());
        return *restored;
    }

  private:
    task::channel<replica::table_update> channel_;
    task::channel<replica::table_update> restores_;
    task::channel<core::instance_name> confirmations_;
};

/// An instance that replicates tables; the test acts as its store.
class test_instance {
  public:
    test_instance(std::string name, const core::socket_address& feed)
        : name_{std::move(name)}, feed_{feed},
          store_{std::make_shared<task::channel<replica::follow_tables>>()},
          task_{host_,
                replica::replica_settings{.tables = {"op", "servers"},
                                          .feed = feed,
                                          .source = {.self = core::instance_name{name_},
                                                     .domain = core::failure_domain_name{"a"},
                                                     .settle_time = 50ms,
                                                     .search_pause = 100ms}},
                *replica::replica_charts::load(chart::library::embedded()), updates_}
    {
        task_.connect(store_);
        host_.add(task_);
        BOOST_REQUIRE(host_.start().ok());
    }
    ~test_instance() { host_.stop(); }

    void send(replica::replica_message message)
    {
        const absl::Status posted = task_.inbox()->post(std::move(message));
        BOOST_REQUIRE(posted.ok());
    }

    void send_from_store(const std::string& table, const core::store_version& version,
                         bool complete, std::vector<replica::row> rows)
    {
        send(replica::store_answered{
            replica::table_update{table, version, complete, std::move(rows)}});
    }

    /// Waits until this number of tables is followed at the store.
    void await_store(std::size_t tables)
    {
        for (;;) {
            const auto command = store_->take(max_wait);
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

    update_channel& updates() { return updates_; }

  private:
    const std::string name_;
    const core::socket_address feed_;
    update_channel updates_;
    std::shared_ptr<task::channel<replica::follow_tables>> store_;
    task::task_host host_;
    replica::replica_task task_;
};

} // namespace

BOOST_AUTO_TEST_CASE(instance_gets_its_tables_from_a_reader)
{
    test_instance reader{"i-0", test::free_address()};
    test_instance second{"i-1", test::free_address()};
    test_instance follower{"i-2", test::free_address()};
    const std::vector<replica::feed_peer> members{reader.peer(1.0), second.peer(0.9),
                                                  follower.peer(0.1)};
    for (test_instance* each : {&reader, &second, &follower}) {
        each->send_from_store("op", {1, 3}, true, {{"config", "one", {1, 3}, false}});
        each->send_from_store("servers", {1, 3}, true, {});
        BOOST_TEST(each->updates().take().complete);
        BOOST_TEST(each->updates().take().complete);
        each->send(replica::peers_listed{true, members, {}});
    }
    follower.await_store(0);
    for (test_instance* each : {&reader, &second}) {
        each->send_from_store("op", {1, 5}, false, {{"config", "two", {1, 5}, false}});
    }
    const replica::table_update update = follower.updates().take();
    BOOST_TEST(update.rows.at(0).value == "two");
    BOOST_TEST(!update.complete);
    // An empty name is the store's, which confirmed the table first.
    BOOST_TEST(follower.updates().take_confirmation().empty());
    BOOST_TEST(follower.updates().take_confirmation().str().starts_with("i-"));

    // Both readers lose the store: the follower probes the store itself.
    reader.send(replica::store_failed{"op"});
    second.send(replica::store_failed{"op"});
    follower.await_store(1);
}

BOOST_AUTO_TEST_CASE(an_instance_probes_the_store_if_its_reader_has_heard_nothing_from_it)
{
    test_instance reader{"i-0", test::free_address()};
    test_instance second{"i-1", test::free_address()};
    test_instance follower{"i-2", test::free_address()};
    const std::vector<replica::feed_peer> members{reader.peer(1.0), second.peer(0.9),
                                                  follower.peer(0.1)};
    for (test_instance* each : {&reader, &second, &follower}) {
        each->send_from_store("op", {1, 3}, true, {{"config", "one", {1, 3}, false}});
        each->send_from_store("servers", {1, 3}, true, {});
        each->send(replica::peers_listed{true, members, {}});
        BOOST_TEST(each->updates().take().complete);
    }
    follower.await_store(0);
    // The store answers neither reader any more, and neither has noticed it: both still serve.
    follower.await_store(1);
    follower.send_from_store("op", {1, 4}, false, {{"config", "two", {1, 4}, false}});
    BOOST_TEST(follower.updates().take().table == "servers");
    BOOST_TEST(follower.updates().take().rows.at(0).value == "two");
    follower.await_store(0);
}

BOOST_AUTO_TEST_CASE(instances_that_follow_a_reader_follow_it_into_the_era_of_a_restored_store)
{
    test_instance reader{"i-0", test::free_address()};
    test_instance second{"i-1", test::free_address()};
    test_instance follower{"i-2", test::free_address()};
    const std::vector<replica::feed_peer> members{reader.peer(1.0), second.peer(0.9),
                                                  follower.peer(0.1)};
    for (test_instance* each : {&reader, &second, &follower}) {
        each->send_from_store("op", {1, 90}, true, {{"config", "old", {1, 90}, false}});
        each->send_from_store("servers", {1, 90}, true, {{"lost", "", {1, 90}, false}});
        each->send(replica::peers_listed{true, members, {}});
        BOOST_TEST(each->updates().take().complete);
        BOOST_TEST(each->updates().take().complete);
    }
    follower.await_store(0);
    for (test_instance* each : {&reader, &second}) {
        each->send_from_store("op", {2, 40}, true, {{"config", "new", {2, 40}, false}});
        each->send_from_store("servers", {2, 40}, true, {});
    }
    const replica::table_update update = follower.updates().take();
    BOOST_TEST(update.table == "op");
    BOOST_TEST(update.rows.at(0).value == "new");
    BOOST_TEST(follower.updates().take_restore().table == "op");
    BOOST_TEST(follower.updates().take_restore().rows.empty());
    // A row that the copy lacks counts as gone once nobody has written it again.
    const replica::table_update gone = follower.updates().take();
    BOOST_TEST(gone.table == "servers");
    BOOST_TEST(gone.rows.at(0).key == "lost");
    BOOST_TEST(gone.rows.at(0).removed);
}
