#include "model/rollout_decoder.hpp"

#include <boost/test/unit_test.hpp>

#include "model/configuration.hpp"

using namespace cyclamen;

namespace {

nlohmann::json make_rollout(const char* name, const char* traffic)
{
    return {{"name", name},
            {"service", "notices"},
            {"from", "v1"},
            {"to", "v2"},
            {"targets", "new"},
            {"traffic", traffic},
            {"deadline", "2026-12-04T15:00:00Z"}};
}

nlohmann::json declarations(const nlohmann::json& rollouts)
{
    auto document = nlohmann::json::parse(R"({
        "services": [{"name": "notices", "kind": "generation", "version": "v1"}],
        "targets": [
            {"name": "t1", "service": "notices", "version": "v1", "address": "127.0.0.1:1",
             "failure_domain": "regina"},
            {"name": "t2", "service": "notices", "version": "v2", "address": "127.0.0.1:2",
             "failure_domain": "regina", "labels": {"new": "yes"}}]})");
    document["rollouts"] = rollouts;
    return document;
}

std::string error_of(const nlohmann::json& rollouts)
{
    const auto decoded = model::decode_configuration(declarations(rollouts), core::revision{1});
    return decoded.ok() ? "" : std::string{decoded.status().message()};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_valid_rollout_is_decoded)
{
    const auto decoded = model::decode_configuration(
        declarations(nlohmann::json::array({make_rollout("move", "tier=gold")})),
        core::revision{1});
    BOOST_REQUIRE(decoded.ok());
    const model::rollout& made = (*decoded)->rollouts.front();
    BOOST_TEST(model::to_string(made.deadline) == "2026-12-04T15:00:00Z");
    BOOST_TEST(made.exposure_limit() == 0.05);
    BOOST_TEST(made.traffic.matches(model::label_set{{{"tier", "gold"}}}));
    BOOST_CHECK((made.key() == model::rollout_key{made.name, made.to, 1}));
}

BOOST_AUTO_TEST_CASE(a_second_rollout_of_a_service_is_rejected)
{
    const auto overlapping = error_of(nlohmann::json::array(
        {make_rollout("first", "tier=gold"), make_rollout("second", "region")}));
    for (const char* part : {"first", "second", "same traffic", "/rollouts/1/service"}) {
        BOOST_TEST(overlapping.find(part) != std::string::npos, overlapping);
    }
    const auto disjoint = error_of(nlohmann::json::array(
        {make_rollout("first", "tier=gold"), make_rollout("second", "tier!=gold")}));
    BOOST_TEST(disjoint.find("one rollout at a time") != std::string::npos, disjoint);
}

BOOST_AUTO_TEST_CASE(unknown_services_and_versions_and_invalid_fields_are_reported)
{
    auto unknown = make_rollout("move", "a=");
    unknown["service"] = "orders";
    unknown["from"] = "v0";
    unknown["targets"] = "!new";
    unknown["deadline"] = "2026-02-30T15:00:00Z";
    const auto problem = error_of(nlohmann::json::array({unknown}));
    for (const char* part : {"orders is not declared", "/rollouts/0/from", "/rollouts/0/to",
                             "/rollouts/0/traffic", "/rollouts/0/deadline"}) {
        BOOST_TEST(problem.find(part) != std::string::npos, problem);
    }
}
