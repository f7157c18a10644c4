#include "settings/instance_settings.hpp"

#include "settings/stand_in_settings_file.hpp"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(all_errors_of_a_settings_file_are_listed_at_once)
{
    const auto decoded = settings::decode_instance_settings(
        nlohmann::json::parse(R"({"name":"a b","listen":"x","log_level":"loud","unknown":1,
            "generation":{"most_attempts":0},"declarations":{"services":[{"name":"s"}]}})"),
        "settings.json");
    BOOST_REQUIRE(!decoded.ok());
    const std::string message{decoded.status().message()};
    for (const char* part : {"settings.json", "/name", "/listen", "/log_level", "unknown",
                             "failure_domain", "/generation/most_attempts", "/services/0"}) {
        BOOST_TEST(message.find(part) != std::string::npos, message << " lacks " << part);
    }
}

BOOST_AUTO_TEST_CASE(absent_settings_have_their_defaults)
{
    const auto decoded = settings::decode_instance_settings(
        nlohmann::json::parse(R"({"name":"i","failure_domain":"d","listen":"127.0.0.1:1"})"), "s");
    BOOST_REQUIRE_MESSAGE(decoded.ok(), std::string{decoded.status().message()});
    BOOST_TEST((decoded->generation == generation::generation_settings{}));
}

BOOST_AUTO_TEST_CASE(platform_and_call_settings_are_decoded_and_validated)
{
    const auto decoded = settings::decode_instance_settings(
        nlohmann::json::parse(R"({"name":"i","failure_domain":"d","listen":"127.0.0.1:1",
            "platform":{"table":"127.0.0.1:2","flush_period_ms":50},"call":{"claim_limit_ms":9}})"),
        "s");
    BOOST_REQUIRE_MESSAGE(decoded.ok(), std::string{decoded.status().message()});
    BOOST_TEST(decoded->platform.table->port == 2);
    BOOST_TEST((decoded->table_client.flush_period == std::chrono::milliseconds{50}));
    BOOST_TEST((decoded->call.claim_limit == std::chrono::milliseconds{9}));
    const auto wrong = settings::decode_instance_settings(
        nlohmann::json::parse(R"({"name":"i","failure_domain":"d","listen":"127.0.0.1:1",
            "platform":{"table":"here"}})"),
        "s");
    BOOST_TEST(std::string{wrong.status().message()}.find("/platform/table") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stand_in_settings_are_decoded_and_validated)
{
    const auto platform = settings::decode_platform_stand_in(
        nlohmann::json::parse(R"({"listen":"127.0.0.1:1","latency_ms":7})"), "s");
    BOOST_REQUIRE(platform.ok());
    BOOST_TEST((platform->latency == std::chrono::milliseconds{7}));
    const auto wrong = settings::decode_service_stand_in(
        nlohmann::json::parse(R"({"listen":"127.0.0.1:1","latency_ms":-1})"), "s");
    BOOST_TEST(std::string{wrong.status().message()}.find("/latency_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_setting_has_a_description)
{
    for (const auto& [name, body] : settings::instance_schema()["properties"].items()) {
        BOOST_TEST(body.contains("description"), name);
    }
}

BOOST_AUTO_TEST_CASE(every_setting_is_documented_on_the_operations_page)
{
    std::ifstream input{CYCLAMENCOURSE_SOURCE_DIR "/docs/OPERATIONS.md"};
    std::ostringstream operations_page;
    operations_page << input.rdbuf();
    for (const auto& [name, body] : settings::instance_schema()["properties"].items()) {
        BOOST_TEST(operations_page.str().find("| `" + name + "` |") != std::string::npos, name);
    }
}
