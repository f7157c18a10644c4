#include "platform/settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

namespace {

nlohmann::json valid_settings()
{
    return nlohmann::json::parse(R"({
        "name": "i-1", "failure_domain": "z", "cores": 0.17, "seeds": ["127.0.0.2:8748"],
        "listen": {"entry": "127.0.0.1:8740", "ready": "127.0.0.1:8749",
                   "directory": "127.0.0.1:8746", "metrics": "127.0.0.1:8750",
                   "feed": "127.0.0.1:8748"},
        "store": {"address": "127.0.0.1:8742"},
        "retries": {"ratio": 0.8, "slack": 300, "window_s": 10},
        "limits": {"leave_s": 8, "target_drain_ms": 2000, "configuration_ms": 2000,
                   "directory_keep_s": 5}})");
}

} // namespace

BOOST_AUTO_TEST_CASE(settings_are_decoded_and_time_limits_derived_from_them)
{
    const auto read = platform::decode_settings(valid_settings(), "file");
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((read->store.change_pause == std::chrono::milliseconds{300}));
    BOOST_TEST((read->store.feed_wait == std::chrono::milliseconds{600}));
    BOOST_TEST((read->replica.source.feed_wait == std::chrono::milliseconds{500}));
    BOOST_TEST((read->replica.source.answer_limit == std::chrono::milliseconds{400}));
    BOOST_TEST(read->replica.source.seeds.size() == 1U);
    BOOST_TEST(read->store.peer.capacity == 0.17);
    BOOST_TEST((read->relay.lifecycle.drain_limit == std::chrono::milliseconds{7600}));
    BOOST_TEST((read->entry.directory_ttl == std::chrono::seconds{3}));
    BOOST_TEST(read->relay.retries.slack == 300);
}

BOOST_AUTO_TEST_CASE(connections_follow_from_the_descriptors_and_from_the_memory)
{
    nlohmann::json body = valid_settings();
    body["limits"]["max_descriptors"] = 960;
    body["limits"]["memory_mb"] = 112;
    const auto ample = platform::decode_settings(body, "file");
    BOOST_REQUIRE(ample.ok());
    BOOST_TEST(ample->entry.max_connections == 480U);
    BOOST_TEST(ample->entry.max_other_connections == 60U);
    BOOST_TEST(ample->replica.max_connections == 120U);
    body["limits"]["memory_mb"] = 16;
    const auto scarce = platform::decode_settings(body, "file");
    BOOST_REQUIRE(scarce.ok());
    BOOST_TEST(scarce->entry.max_connections == 256U);
    BOOST_TEST(scarce->entry.max_other_connections == 32U);
    BOOST_TEST(scarce->replica.max_connections == 64U);
    body["limits"]["memory_mb"] = 0.1;
    const auto tiny = platform::decode_settings(body, "file");
    BOOST_REQUIRE(tiny.ok());
    BOOST_TEST(tiny->entry.max_other_connections > 0U);
}

BOOST_AUTO_TEST_CASE(every_fault_is_reported_with_its_json_pointer)
{
    nlohmann::json body = valid_settings();
    body["listen"]["entry"] = "nowhere";
    body["listen"]["ready"] = "127.0.0.1";
    body["seeds"][0] = "seed";
    const auto read = platform::decode_settings(body, "file");
    BOOST_REQUIRE(!read.ok());
    const std::string message{read.status().message()};
    BOOST_TEST(message.find("/listen/entry") != std::string::npos);
    BOOST_TEST(message.find("/listen/ready") != std::string::npos);
    BOOST_TEST(message.find("/seeds") != std::string::npos);
    body = valid_settings();
    body.erase("store");
    BOOST_TEST(!platform::decode_settings(body, "file").ok());
}
