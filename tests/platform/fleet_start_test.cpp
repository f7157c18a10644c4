#include <thread>

#include <boost/test/unit_test.hpp>

#include "http/request_task.hpp"
#include "platform/platform_instance.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

constexpr const char* configuration = R"({"version":1,"routes":[
    {"name":"u","host":"test.example","prefix":"/u/","kind":"unsafe","timeout_ms":800,
     "goal_ms":300,"priority":2,"backend":"desk","attempts":1,"public":true}],
    "backends":[{"name":"desk","health_path":"/healthz"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
              "idle_timeout_ms":15000}})";

/// Instances that start at the same time, with stand-ins for the store and one target.
class fleet_fixture {
  public:
    static constexpr std::size_t size = 8;

    fleet_fixture()
        : store_{standin::row_store_settings{store_address_}},
          target_{standin::runner_settings{.name = "desk-0",
                                           .listen = target_address_,
                                           .listed_address = target_address_,
                                           .service = "desk",
                                           .failure_domain = "a"},
                  nullptr, store_.inbox()}
    {
        BOOST_REQUIRE(store_.start().ok());
        BOOST_REQUIRE(target_.start().ok());
        BOOST_REQUIRE(store_.inbox()
                          ->post(standin::write_rows{
                              {standin::row_write{"op", "config", configuration, false}}})
                          .ok());
        for (std::size_t i = 0; i < size; ++i) {
            feeds_.push_back(test::free_address());
            ready_.push_back(test::free_address());
        }
        for (std::size_t i = 0; i < size; ++i) {
            start_instance(i);
        }
    }

    /// Waits until all instances are ready.
    void await_ready()
    {
        constexpr int status_ok = 200;
        for (const core::socket_address& each : ready_) {
            bool ready = false;
            for (int i = 0; i < 500 && !ready; ++i) {
                const auto answer = http::fetch(each, http::request{"GET", "/readyz", {}, ""}, 1s);
                ready = answer.ok() && answer->status == status_ok;
                std::this_thread::sleep_for(10ms);
            }
            BOOST_REQUIRE(ready);
        }
    }

    /// Stops everything.
    /// @return number of calls that the store received, by path
    std::map<std::string, std::uint64_t> stop()
    {
        for (const auto& each : instances_) {
            each->stop();
        }
        target_.stop();
        store_.stop();
        return store_.calls();
    }

  private:
    const core::socket_address store_address_ = test::free_address();
    const core::socket_address target_address_ = test::free_address();
    standin::row_store_task store_;
    standin::runner_task target_;
    std::vector<core::socket_address> feeds_;
    std::vector<core::socket_address> ready_;
    std::vector<std::shared_ptr<task::channel<relay::instance_left>>> left_;
    std::vector<std::unique_ptr<platform::platform_instance>> instances_;

    void start_instance(std::size_t index)
    {
        const nlohmann::json settings{
            {"name", "i-" + std::to_string(index)},
            {"failure_domain", std::string(1, static_cast<char>('a' + index % 2))},
            {"cores", 1},
            {"seeds", {core::to_string(feeds_[0])}},
            {"listen",
             {{"entry", core::to_string(test::free_address())},
              {"ready", core::to_string(ready_[index])},
              {"directory", core::to_string(test::free_address())},
              {"metrics", core::to_string(test::free_address())},
              {"feed", core::to_string(feeds_[index])}}},
            {"store", {{"address", core::to_string(store_address_)}}},
            {"retries", {{"ratio", 0.8}, {"slack", 300}, {"window_s", 10}}},
            {"limits",
             {{"leave_s", 3},
              {"target_drain_ms", 2000},
              {"configuration_ms", 2000},
              {"directory_keep_s", 3}}}};
        const auto read = platform::decode_settings(settings, "test");
        BOOST_REQUIRE_MESSAGE(read.ok(), std::string{read.status().message()});
        left_.push_back(std::make_shared<task::channel<relay::instance_left>>());
        auto started =
            platform::platform_instance::start(*read, chart::library::embedded(), left_.back());
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
        instances_.push_back(*std::move(started));
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(instances_that_start_together_read_few_tables_from_the_store)
{
    fleet_fixture fleet;
    fleet.await_ready();
    // Instances that don't read the store for others look for a reader after a second.
    std::this_thread::sleep_for(1500ms);
    const auto calls = fleet.stop();
    // Each instance reads two tables; a seed and a reader in each domain read three more.
    constexpr std::uint64_t tables_of_all = 2;
    constexpr std::uint64_t tables_of_readers = 3 * 3;
    BOOST_TEST(calls.at("/rows-get") <= fleet_fixture::size * tables_of_all + tables_of_readers);
}
