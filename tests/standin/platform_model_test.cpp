#include <thread>

#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "http/request_task.hpp"
#include "http/table_codec.hpp"
#include "standin/instance_list.hpp"
#include "standin/platform_task.hpp"
#include "standin/service_task.hpp"
#include "standin/weight_store.hpp"
#include "support/ports.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(weight_loads_run_one_after_another)
{
    standin::weight_store weights{2s};
    const core::instant start{};
    BOOST_TEST((weights.begin_load(start) == start + 2s));
    BOOST_TEST((weights.begin_load(start) == start + 4s));
    BOOST_TEST((weights.begin_load(start + 10s) == start + 12s));
}

BOOST_AUTO_TEST_CASE(instance_list_lags_and_removes_instances_without_reports)
{
    standin::instance_list list{2s, 10s};
    const core::instant start{};
    list.report("a", "live", start);
    BOOST_TEST(list.list(start + 1s).empty());
    BOOST_TEST(list.list(start + 2s).at("a") == "live");
    list.report("a", "leaving", start + 3s);
    BOOST_TEST(list.list(start + 4s).at("a") == "live");
    BOOST_TEST(list.list(start + 5s).at("a") == "leaving");
    BOOST_TEST(list.list(start + 15s).empty());
}

BOOST_AUTO_TEST_CASE(a_restored_table_answers_in_the_next_era_without_the_lost_rows)
{
    const core::socket_address address = test::free_address();
    standin::platform_task platform{standin::platform_settings{address}};
    BOOST_REQUIRE(platform.start().ok());
    const auto post = [&](std::string_view path, std::string body) {
        return http::fetch(address, http::request{"POST", std::string{path}, {}, std::move(body)},
                           10s);
    };
    const auto written = post(http::table_commit_path,
                              R"({"writes":[{"table":"t","row":"a","value":"","expected":0}]})");
    BOOST_REQUIRE(written.ok());
    BOOST_TEST(written->body == "{}");
    BOOST_REQUIRE(post("/admin/fault", R"({"kind":"restored","back_ms":60000,"for_ms":50})").ok());
    std::string body;
    for (const auto limit = core::system_clock{}.now() + 10s;
         core::system_clock{}.now() < limit && body.find("era") == std::string::npos;) {
        std::this_thread::sleep_for(10ms);
        const auto rows = post(http::table_scan_path, R"({"table":"t","prefix":""})");
        body = rows.ok() ? rows->body : std::string{};
    }
    BOOST_TEST(body == R"({"era":1,"rows":[]})");
    platform.stop();
}

BOOST_AUTO_TEST_CASE(fault_names_are_parsed)
{
    BOOST_TEST((standin::parse_platform_fault("losing") == standin::platform_fault::losing));
    BOOST_TEST((standin::parse_platform_fault("restored") == standin::platform_fault::restored));
    BOOST_TEST(
        (standin::parse_service_fault("paused_after") == standin::service_fault::paused_after));
    BOOST_TEST(!standin::parse_platform_fault("odd").has_value());
    BOOST_TEST(!standin::parse_service_fault("odd").has_value());
}
