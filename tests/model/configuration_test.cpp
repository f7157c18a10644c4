#include "model/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

namespace {

const char* const valid_declarations = R"({
    "services": [{"name": "notices", "kind": "generation", "version": "v1"}],
    "targets": [{"name": "t1", "service": "notices", "version": "v1", "address": "127.0.0.1:1",
                 "failure_domain": "regina", "labels": {"tier": "gold"}}],
    "accounts": [{"name": "chain",
        "key_hash": "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}]
})";

} // namespace

BOOST_AUTO_TEST_CASE(valid_declarations_are_decoded)
{
    const auto decoded =
        model::decode_configuration(nlohmann::json::parse(valid_declarations), core::revision{3});
    BOOST_REQUIRE(decoded.ok());
    const model::configuration& configuration = **decoded;
    BOOST_TEST(configuration.revision.value() == 3U);
    BOOST_REQUIRE(configuration.find_service(core::service_name{"notices"}) != nullptr);
    BOOST_TEST(configuration.find_target(core::target_name{"t2"}) == nullptr);
    BOOST_REQUIRE(configuration.find_account("key") != nullptr);
    BOOST_TEST(configuration.find_account("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(every_error_in_declarations_is_reported)
{
    auto document = nlohmann::json::parse(valid_declarations);
    document["targets"][0]["service"] = "unknown";
    document["targets"][0]["address"] = "nowhere";
    document["accounts"].push_back(document["accounts"][0]);
    const auto decoded = model::decode_configuration(document, core::revision{1});
    BOOST_REQUIRE(!decoded.ok());
    const std::string message{decoded.status().message()};
    for (const char* part : {"/targets/0/service", "/targets/0/address", "declared twice"}) {
        BOOST_TEST(message.find(part) != std::string::npos, message);
    }
}
