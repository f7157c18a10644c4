#include <thread>

#include <boost/test/unit_test.hpp>

#include "instance/instance.hpp"
#include "model/client_account.hpp"
#include "settings/instance_settings.hpp"
#include "standin/platform_task.hpp"
#include "standin/service_task.hpp"
#include "support/http_caller.hpp"
#include "support/ports.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using standin::platform_fault;
using standin::service_fault;

namespace {

/// Two instances in front of two stand-in services and a stand-in platform, on loopback.
class call_fixture {
  public:
    call_fixture()
    {
        BOOST_REQUIRE(platform.start().ok());
        nlohmann::json targets = nlohmann::json::array();
        for (const auto& service : services) {
            BOOST_REQUIRE(service->start().ok());
        }
        for (std::size_t i = 0; i < services.size(); ++i) {
            targets.push_back({{"name", "f" + std::to_string(i)},
                               {"service", "filing"},
                               {"address", core::to_string(service_addresses[i])},
                               {"failure_domain", "regina"}});
        }
        const nlohmann::json declarations{
            {"services", {{{"name", "filing"}, {"kind", "plain"}}}},
            {"targets", targets},
            {"accounts", {{{"name", "chain"}, {"key_hash", model::hash_key("key")}}}}};
        for (const core::socket_address& address : addresses) {
            const auto decoded = settings::decode_instance_settings(
                {{"name", "i" + std::to_string(address.port)},
                 {"failure_domain", "regina"},
                 {"listen", core::to_string(address)},
                 {"log_level", "error"},
                 {"drain_limit_ms", 500},
                 {"platform",
                  {{"table", core::to_string(table_address)}, {"answer_limit_ms", 200}}},
                 {"call", {{"claim_limit_ms", 800}, {"answer_limit_ms", 1000}}},
                 {"declarations", declarations}},
                "test");
            BOOST_REQUIRE_MESSAGE(decoded.ok(), std::string{decoded.status().message()});
            core::set_log_level(decoded->log_level);
            auto started = instance::instance::start(*decoded, chart::library::embedded());
            BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
            instances.push_back(*std::move(started));
        }
        BOOST_REQUIRE(caller.start().ok());
        for (const core::socket_address& address : addresses) {
            wait_until_serving(address);
        }
    }

    ~call_fixture() { stop(); }
    call_fixture(const call_fixture&) = delete;
    call_fixture& operator=(const call_fixture&) = delete;

    void stop()
    {
        caller.stop();
        for (const auto& each : instances) {
            each->stop();
        }
        for (const auto& each : services) {
            each->stop();
        }
        platform.stop();
    }

    /// Waits until the instance accepts work. An instance with a table refuses work until it has
    /// read the newest configuration.
    void wait_until_serving(const core::socket_address& address)
    {
        constexpr int max_attempts = 200;
        for (int i = 0; i < max_attempts; ++i) {
            BOOST_REQUIRE(
                caller.inbox()
                    ->post(test::send_request{++last_number, address, {"GET", "/healthz", {}, ""}})
                    .ok());
            if (next().status == 200) {
                return;
            }
            std::this_thread::sleep_for(10ms);
        }
        BOOST_FAIL("the instance did not start to serve");
    }

    void send(std::size_t instance, const std::string& key, const std::string& method = "POST",
              const std::string& body = "a filing")
    {
        std::vector<http::header> headers{{"authorization", "Bearer key"}, {"x-paper", "gazette"}};
        if (!key.empty()) {
            headers.push_back({"idempotency-key", key});
        }
        BOOST_REQUIRE(caller.inbox()
                          ->post(test::send_request{
                              ++last_number,
                              addresses.at(instance),
                              {method, "/services/filing/notices?town=x", headers, body}})
                          .ok());
    }

    test::http_result next()
    {
        const auto result = caller.take(20s);
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    test::http_result call(std::size_t instance, const std::string& key,
                           const std::string& method = "POST", const std::string& body = "a filing")
    {
        send(instance, key, method, body);
        return next();
    }

    void fault(service_fault kind)
    {
        for (const auto& each : services) {
            BOOST_REQUIRE(each->inbox()->post(standin::set_service_fault{kind}).ok());
        }
        settle();
    }

    void fault(platform_fault kind)
    {
        BOOST_REQUIRE(platform.inbox()->post(standin::set_platform_fault{kind}).ok());
        settle();
    }

    /// Stops all tasks.
    /// @return how often the services executed the call of each request key
    std::map<std::string, std::uint64_t> runs()
    {
        stop();
        std::map<std::string, std::uint64_t> total;
        for (const auto& each : services) {
            for (const auto& [key, count] : each->runs()) {
                total[key] += count;
            }
        }
        return total;
    }

    const std::vector<core::socket_address> addresses{test::free_address(), test::free_address()};
    const std::vector<core::socket_address> service_addresses{test::free_address(),
                                                              test::free_address()};
    const core::socket_address table_address = test::free_address();
    standin::platform_task platform{standin::platform_settings{table_address}};
    std::vector<std::unique_ptr<standin::service_task>> services = make_services();
    std::vector<std::unique_ptr<instance::instance>> instances;
    test::http_caller caller;
    std::uint64_t last_number = 0;

  private:
    /// Gives the stand-ins, which are separate tasks, time to apply a fault.
    static void settle() { std::this_thread::sleep_for(30ms); }

    std::vector<std::unique_ptr<standin::service_task>> make_services() const
    {
        std::vector<std::unique_ptr<standin::service_task>> made;
        for (const core::socket_address& address : service_addresses) {
            made.push_back(
                std::make_unique<standin::service_task>(standin::service_settings{address}));
        }
        return made;
    }
};

bool says_not_run(const test::http_result& result)
{
    return result.body.find("\"not_run\":true") != std::string::npos;
}

bool says_unknown(const test::http_result& result)
{
    return result.body.find("outcome_unknown") != std::string::npos && !says_not_run(result);
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_reach_the_service_and_repeats_get_the_recorded_answer)
{
    call_fixture fixture;
    const auto first = fixture.call(0, "k");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(first.body == "POST /notices?town=x k run 1");
    std::this_thread::sleep_for(200ms);
    BOOST_TEST(fixture.call(1, "k").body == first.body);
    BOOST_TEST(fixture.call(0, "k").body == first.body);
    BOOST_TEST(fixture.call(1, "k", "POST", "another filing").status == 422);
    BOOST_TEST(fixture.call(0, "", "GET", "").status == 200);
    BOOST_TEST(fixture.runs().at("k") == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_repeated_while_the_service_fails_runs_at_most_once)
{
    for (const service_fault kind : {service_fault::killed, service_fault::losing,
                                     service_fault::paused_before, service_fault::paused_after}) {
        call_fixture fixture;
        fixture.fault(kind);
        for (int i = 0; i < 3; ++i) {
            const auto refused = fixture.call(static_cast<std::size_t>(i % 2), "k");
            BOOST_TEST((says_unknown(refused) || says_not_run(refused)), refused.body);
            BOOST_TEST(says_not_run(refused) == (kind == service_fault::killed), refused.body);
        }
        fixture.fault(service_fault::none);
        std::this_thread::sleep_for(700ms);
        const auto last = fixture.call(1, "k");
        BOOST_TEST((last.status == 200) == (kind != service_fault::losing), last.body);
        BOOST_TEST(fixture.runs()["k"] == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_while_the_table_fails_says_whether_the_call_ran)
{
    for (const platform_fault kind : {platform_fault::down, platform_fault::refusing,
                                      platform_fault::silent, platform_fault::losing}) {
        call_fixture fixture;
        fixture.fault(kind);
        const auto first = fixture.call(0, "k");
        // After a lost answer the claim is read back and found written, so the call runs.
        const bool runs = kind == platform_fault::losing;
        BOOST_TEST(says_not_run(first) == !runs, first.body);
        fixture.fault(platform_fault::none);
        std::this_thread::sleep_for(700ms);
        const auto second = fixture.call(1, "k");
        BOOST_TEST(second.status == 200, second.body);
        BOOST_TEST(fixture.runs()["k"] == 1U);
    }
}

BOOST_AUTO_TEST_CASE(concurrent_calls_at_two_instances_run_at_most_once_under_faults)
{
    call_fixture fixture;
    constexpr int keys = 60;
    const auto send_all = [&] {
        for (int i = 0; i < keys; ++i) {
            fixture.send(0, "m" + std::to_string(i));
            fixture.send(1, "m" + std::to_string(i));
        }
    };
    send_all();
    // The faults start after the first call has been answered, however long that takes.
    int answered = 0;
    int received = 0;
    while (answered == 0 && received < 2 * keys) {
        answered += fixture.next().status == 200 ? 1 : 0;
        ++received;
    }
    BOOST_TEST(answered == 1);
    fixture.fault(platform_fault::losing);
    fixture.fault(service_fault::losing);
    send_all();
    fixture.fault(platform_fault::none);
    fixture.fault(service_fault::none);
    send_all();
    for (; received < 6 * keys; ++received) {
        answered += fixture.next().status == 200 ? 1 : 0;
    }
    for (const auto& [key, count] : fixture.runs()) {
        BOOST_TEST(count == 1U, key);
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_passes_on_no_call_that_its_end_would_cut)
{
    call_fixture fixture;
    fixture.fault(service_fault::paused_before);
    fixture.instances.front()->request_stop();
    std::this_thread::sleep_for(100ms);
    for (const std::string key : {"k", ""}) {
        const auto refused = fixture.call(0, key);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(says_not_run(refused), refused.body);
    }
    const auto left = fixture.instances.front()->wait_left(10s);
    BOOST_REQUIRE(left.has_value());
    BOOST_TEST(!left->work_cut);
    fixture.fault(service_fault::none);
    BOOST_TEST(fixture.runs().empty());
}

BOOST_AUTO_TEST_CASE(a_call_open_at_the_drain_limit_is_answered_before_its_connection_is_closed)
{
    for (const std::string key : {"k", ""}) {
        call_fixture fixture;
        fixture.fault(service_fault::paused_before);
        fixture.send(0, key);
        std::this_thread::sleep_for(100ms);
        fixture.instances.front()->request_stop();
        const auto left = fixture.instances.front()->wait_left(10s);
        BOOST_REQUIRE(left.has_value());
        BOOST_TEST(left->work_cut);
        fixture.instances.front()->stop();
        const auto answer = fixture.next();
        BOOST_TEST(answer.status == 502);
        BOOST_TEST(says_unknown(answer), answer.body);
    }
}
