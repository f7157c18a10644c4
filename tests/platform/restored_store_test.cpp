#include <thread>

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "http/request_task.hpp"
#include "platform/platform_instance.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

constexpr int status_ok = 200;
/// The settings want a configuration in force within this time.
constexpr core::duration configuration_limit = 2s;
/// Time during which a store that comes back from a copy is away.
constexpr core::duration away = 300ms;
/// Number of instances that all read the store for themselves or for others.
constexpr std::size_t fully_connected = 3;

/// Instances with stand-ins for the store and targets. Copies of the store's rows can be restored.
class restored_fleet {
  public:
    explicit restored_fleet(std::size_t size) : store_{standin::row_store_settings{store_address_}}
    {
        BOOST_REQUIRE(store_.start().ok());
        write({standin::row_write{"op", "config", configuration_with(1, {}), false}});
        for (std::size_t i = 0; i < size; ++i) {
            feeds_.push_back(test::free_address());
            entries_.push_back(test::free_address());
            ready_.push_back(test::free_address());
        }
    }

    void start_target(const std::string& name)
    {
        const core::socket_address address = test::free_address();
        auto target = std::make_unique<standin::runner_task>(
            standin::runner_settings{.name = name,
                                     .listen = address,
                                     .listed_address = address,
                                     .service = "desk",
                                     .failure_domain = "a"},
            nullptr, store_.inbox());
        BOOST_REQUIRE(target->start().ok());
        targets_.emplace(name, std::move(target));
        std::this_thread::sleep_for(50ms);
    }

    void inject_fault(const std::string& name, runner_fault fault)
    {
        BOOST_REQUIRE(targets_.at(name)->inbox()->post(standin::set_runner_fault{fault}).ok());
    }

    void start_instances()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            start_instance(i);
        }
        for (const core::socket_address& each : ready_) {
            BOOST_REQUIRE(holds_within(5s, [&] {
                const auto answer = http::fetch(each, http::request{"GET", "/readyz", {}, ""}, 1s);
                return answer.ok() && answer->status == status_ok;
            }));
        }
        // Instances that don't read the store for others look for a reader after a second.
        std::this_thread::sleep_for(entries_.size() > fully_connected ? 1500ms : 300ms);
    }

    /// Makes a copy of the store's rows that can be restored later.
    void make_copy()
    {
        std::this_thread::sleep_for(50ms);
        copied_ = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(50ms);
    }

    /// Takes the store away and lets it come back from the copy.
    void restore(core::duration rewrite_delay)
    {
        send_to_store(
            standin::restore_copy{std::chrono::steady_clock::now() - copied_, away, rewrite_delay});
        std::this_thread::sleep_for(away + 50ms);
    }

    /// Raises the version of the store as the system's own writes do.
    void write_system_rows(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto answer = http::fetch(
                store_address_,
                http::request{"POST",
                              "/rows-tx",
                              {{"content-type", "application/json"}},
                              R"({"put":[{"table":"other","part":"","key":"a","value":"eA=="}]})"},
                1s);
            BOOST_REQUIRE(answer.ok());
            BOOST_REQUIRE(answer->status == status_ok);
        }
    }

    void write(const std::vector<standin::row_write>& writes)
    {
        send_to_store(standin::write_rows{writes});
    }

    /// Writes a configuration that also has a route for each of the names.
    void configure(int version, const std::vector<std::string>& routes)
    {
        write({standin::row_write{"op", "config", configuration_with(version, routes), false}});
    }

    /// @return true if all instances serve the route within the limit
    bool serve_in_time(const std::string& route)
    {
        const core::instant end = std::chrono::steady_clock::now() + configuration_limit;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!holds_within(end - std::chrono::steady_clock::now(),
                              [&] { return status_of(i, route) == status_ok; })) {
                return false;
            }
        }
        return true;
    }

    /// @return number of requests that were not answered with success, sent for some time
    std::size_t failures_during(core::duration time, const std::string& route)
    {
        std::size_t failures = 0;
        const core::instant end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                failures += status_of(i, route) == status_ok ? 0U : 1U;
            }
            std::this_thread::sleep_for(20ms);
        }
        return failures;
    }

    /// @return the rows of a table as the store returns them
    std::string read_table(const std::string& table) const
    {
        const auto answer =
            http::fetch(store_address_,
                        http::request{"GET", "/rows-get?table=" + table + "&part=", {}, ""}, 1s);
        return answer.ok() ? answer->body : std::string{};
    }

    /// @return the value of a row in the store, empty if there is none
    std::string read_row(const std::string& table, const std::string& key) const
    {
        const auto rows = nlohmann::json::parse(read_table(table), nullptr, false);
        std::string value;
        for (const auto& each : rows.is_object() ? rows.at("rows") : nlohmann::json::array()) {
            if (each.at("key") == key) {
                absl::Base64Unescape(each.at("value").get<std::string>(), &value);
            }
        }
        return value;
    }

    /// @return true if a condition holds within the limit
    template <typename Condition>
    static bool holds_within(core::duration limit, const Condition& condition)
    {
        const core::instant end = std::chrono::steady_clock::now() + limit;
        do {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        } while (std::chrono::steady_clock::now() < end);
        return false;
    }

    /// Stops everything.
    /// @return number of calls that the store received, by path
    std::map<std::string, std::uint64_t> stop()
    {
        for (const auto& each : instances_) {
            each->stop();
        }
        instances_.clear();
        targets_.clear();
        store_.stop();
        return store_.calls();
    }

    ~restored_fleet() { stop(); }

  private:
    const core::socket_address store_address_ = test::free_address();
    standin::row_store_task store_;
    std::map<std::string, std::unique_ptr<standin::runner_task>> targets_;
    std::vector<core::socket_address> feeds_;
    std::vector<core::socket_address> entries_;
    std::vector<core::socket_address> ready_;
    std::vector<std::shared_ptr<task::channel<relay::instance_left>>> left_;
    std::vector<std::unique_ptr<platform::platform_instance>> instances_;
    core::instant copied_;
    std::uint64_t requests_ = 0;

    static std::string configuration_with(int version, std::vector<std::string> routes)
    {
        routes.emplace_back("u");
        nlohmann::json listed = nlohmann::json::array();
        for (const std::string& each : routes) {
            listed.push_back({{"name", each},
                              {"host", "test.example"},
                              {"prefix", "/" + each + "/"},
                              {"kind", "unsafe"},
                              {"timeout_ms", 800},
                              {"goal_ms", 300},
                              {"priority", 2},
                              {"backend", "desk"},
                              {"attempts", 1},
                              {"public", true}});
        }
        return nlohmann::json{{"version", version},
                              {"routes", listed},
                              {"backends", {{{"name", "desk"}, {"health_path", "/healthz"}}}},
                              {"limits",
                               {{"max_header_bytes", 16384},
                                {"max_body_bytes", 100000},
                                {"header_timeout_ms", 3000},
                                {"idle_timeout_ms", 15000}}}}
            .dump();
    }

    void send_to_store(standin::row_store_message message)
    {
        const absl::Status posted = store_.inbox()->post(std::move(message));
        BOOST_REQUIRE(posted.ok());
    }

    int status_of(std::size_t instance, const std::string& route)
    {
        const std::vector<http::header> headers{
            {"host", "test.example"},
            {"x-cyclamencourse-request-id", "r-" + std::to_string(++requests_)},
            {"x-cyclamencourse-deadline-ms", "5000"}};
        const auto answer = http::fetch(
            entries_[instance], http::request{"POST", "/" + route + "/x", headers, "body"}, 5s);
        return answer.ok() ? answer->status : 0;
    }

    void start_instance(std::size_t index)
    {
        nlohmann::json settings{
            {"name", "i-" + std::to_string(index)},
            {"failure_domain", std::string(1, static_cast<char>('a' + index % 2))},
            {"cores", 1},
            {"listen",
             {{"entry", core::to_string(entries_[index])},
              {"ready", core::to_string(ready_[index])},
              {"directory", core::to_string(test::free_address())},
              {"metrics", core::to_string(test::free_address())},
              {"feed", core::to_string(feeds_[index])}}},
            {"store", {{"address", core::to_string(store_address_)}}},
            {"retries", {{"ratio", 0.8}, {"slack", 300}, {"window_s", 10}}},
            {"limits",
             {{"leave_s", 3},
              {"target_drain_ms", 2000},
              {"configuration_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(configuration_limit).count()},
              {"directory_keep_s", 3}}}};
        if (entries_.size() > 1) {
            settings["seeds"] = {core::to_string(feeds_[0])};
        }
        const auto read = platform::decode_settings(settings, "test");
        BOOST_REQUIRE_MESSAGE(read.ok(), std::string{read.status().message()});
        left_.push_back(std::make_shared<task::channel<relay::instance_left>>());
        auto started =
            platform::platform_instance::start(*read, chart::library::embedded(), left_.back());
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
        instances_.push_back(*std::move(started));
    }
};

/// Number of instances with some that neither read the store for others nor are a seed.
constexpr std::size_t fleet_size = 8;
/// Number of lost transactions that is not made up for within a test.
constexpr std::size_t many = 400;
/// Number of transactions that makes up for the few that a restore has lost.
constexpr std::size_t some = 40;

} // namespace

BOOST_AUTO_TEST_CASE(a_route_added_after_a_restore_of_the_store_is_served)
{
    restored_fleet fleet{1};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.write_system_rows(many);
    fleet.restore(100ms);
    fleet.configure(2, {"n"});
    BOOST_TEST(fleet.serve_in_time("n"));
    BOOST_TEST(fleet.failures_during(2s, "n") == 0U);
}

BOOST_AUTO_TEST_CASE(a_route_added_after_a_restore_is_served_by_instances_that_follow_a_reader)
{
    restored_fleet fleet{fleet_size};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.write_system_rows(many);
    fleet.restore(100ms);
    fleet.configure(2, {"n"});
    BOOST_TEST(fleet.serve_in_time("n"));
    BOOST_TEST(fleet.failures_during(2s, "n") == 0U);
}

BOOST_AUTO_TEST_CASE(a_route_written_with_a_version_that_is_given_out_again_is_served)
{
    restored_fleet fleet{fleet_size};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.configure(2, {"n"});
    BOOST_TEST(fleet.serve_in_time("n"));
    fleet.restore(100ms);
    // Another configuration gets the version that the lost one had, or one close to it.
    fleet.configure(3, {"n", "m"});
    BOOST_TEST(fleet.serve_in_time("m"));
    BOOST_TEST(fleet.failures_during(1s, "m") == 0U);
    BOOST_TEST(fleet.failures_during(1s, "n") == 0U);
}

BOOST_AUTO_TEST_CASE(a_confirmed_route_that_the_copy_lacks_stays_in_force)
{
    restored_fleet fleet{3};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.configure(2, {"n"});
    BOOST_TEST(fleet.serve_in_time("n"));
    fleet.restore(500ms);
    fleet.write_system_rows(some);
    BOOST_TEST(fleet.failures_during(2s, "n") == 0U);
}

BOOST_AUTO_TEST_CASE(a_route_added_after_two_restores_in_a_row_is_served)
{
    restored_fleet fleet{3};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.write_system_rows(many);
    fleet.restore(100ms);
    fleet.configure(2, {"n"});
    fleet.write_system_rows(some);
    fleet.restore(100ms);
    fleet.configure(3, {"n", "m"});
    BOOST_TEST(fleet.serve_in_time("m"));
    BOOST_TEST(fleet.failures_during(1s, "n") == 0U);
}

BOOST_AUTO_TEST_CASE(an_instance_whose_row_a_restore_lost_is_listed_again)
{
    restored_fleet fleet{3};
    fleet.start_target("desk-0");
    fleet.make_copy();
    fleet.start_instances();
    BOOST_REQUIRE(!fleet.read_row("instances", "i-2").empty());
    fleet.restore(100ms);
    for (const char* name : {"i-0", "i-1", "i-2"}) {
        BOOST_TEST(
            restored_fleet::holds_within(
                configuration_limit, [&] { return !fleet.read_row("instances", name).empty(); }),
            name);
    }
}

BOOST_AUTO_TEST_CASE(a_target_that_a_restore_lost_for_a_moment_keeps_getting_requests)
{
    restored_fleet fleet{3};
    fleet.make_copy();
    fleet.start_target("desk-0");
    fleet.start_instances();
    BOOST_TEST(fleet.failures_during(200ms, "u") == 0U);
    fleet.restore(1500ms);
    fleet.write_system_rows(some);
    BOOST_TEST(fleet.failures_during(3s, "u") == 0U);
}

BOOST_AUTO_TEST_CASE(a_target_that_left_and_is_back_in_the_copy_gets_no_requests)
{
    restored_fleet fleet{3};
    fleet.start_target("desk-0");
    fleet.start_target("desk-1");
    fleet.start_instances();
    fleet.make_copy();
    fleet.write({standin::row_write{"servers", "desk-1", {}, true}});
    std::this_thread::sleep_for(500ms);
    fleet.inject_fault("desk-1", runner_fault::failing);
    BOOST_TEST(fleet.failures_during(500ms, "u") == 0U);
    fleet.restore(1s);
    fleet.write_system_rows(some);
    BOOST_TEST(fleet.failures_during(2s, "u") == 0U);
}

BOOST_AUTO_TEST_CASE(a_rollout_outcome_that_a_restore_lost_is_written_again)
{
    restored_fleet fleet{1};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.write({standin::row_write{"op", "rollout/desk",
                                    R"({"backend":"desk","to":"v1","duration_s":1})", false}});
    const auto state_is = [&](const std::string& state) {
        return fleet.read_row("status", "rollout/desk").find(state) != std::string::npos;
    };
    // All targets have this version from the start, so that there is nothing to move to.
    BOOST_REQUIRE(restored_fleet::holds_within(10s, [&] { return state_is("rolled_back"); }));
    fleet.restore(100ms);
    bool is_running = false;
    BOOST_TEST(restored_fleet::holds_within(configuration_limit, [&] {
        is_running = is_running || state_is("running");
        return state_is("rolled_back");
    }));
    BOOST_TEST(!is_running);
}

BOOST_AUTO_TEST_CASE(a_restore_does_not_make_all_instances_read_every_table)
{
    restored_fleet fleet{fleet_size};
    fleet.start_target("desk-0");
    fleet.start_instances();
    fleet.make_copy();
    fleet.write_system_rows(many);
    fleet.restore(100ms);
    std::this_thread::sleep_for(2500ms);
    const auto calls = fleet.stop();
    // Each instance reads two tables at its start; a seed and a reader in each domain read three
    // more, and all five again after the restore.
    constexpr std::uint64_t readers = 3;
    constexpr std::uint64_t at_start = fleet_size * 2 + readers * 3;
    constexpr std::uint64_t after_restore = readers * 5;
    BOOST_TEST(calls.at("/rows-get") <= at_start + after_restore);
}
