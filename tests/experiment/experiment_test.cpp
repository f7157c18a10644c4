#include "experiment/experiment_runner.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

namespace {

nlohmann::json small_experiment()
{
    return nlohmann::json::parse(R"({
        "name": "small", "deployment": "test", "failure_domains": ["a", "b"],
        "instances": 2, "engines": 3, "token_gap_ms": 2,
        "load": {"seed": 7, "model": "notices", "rate": 40, "length_s": 1,
                 "accounts": [{"key": "k1"}, {"key": "k2", "weight": 0.2}],
                 "short_answer": [20, 60], "long_answer": [80, 120]},
        "faults": [{"at_s": 0.4, "place": "engine", "index": 0, "kind": "killed", "lasts_s": 0.3}],
        "bounds": {"answers_wrong": 0}
    })");
}

} // namespace

BOOST_AUTO_TEST_CASE(all_answers_are_whole_when_an_engine_is_killed)
{
    const auto settings = experiment::decode_experiment(small_experiment(), "small");
    BOOST_REQUIRE_MESSAGE(settings.ok(), std::string{settings.status().message()});
    const auto result = experiment::run_experiment(*settings, "standard", [](std::uint64_t) {});
    BOOST_REQUIRE_MESSAGE(result.ok(), std::string{result.status().message()});
    BOOST_TEST(result->report.size() > 20U);
    BOOST_TEST(result->report.count(load::outcome::whole) == result->report.size());
    BOOST_TEST(result->work.tokens_decoded >= result->report.useful_tokens());
    const auto figures = experiment::compute_measures(*result);
    BOOST_TEST(experiment::exceeded_bounds(*settings, figures).empty());
    BOOST_TEST(experiment::to_lines(*settings, figures, figures).size() == figures.size());
}

BOOST_AUTO_TEST_CASE(keyed_requests_get_whole_answers_when_an_entry_instance_is_killed)
{
    auto document = small_experiment();
    document["instances"] = 3;
    document["load"]["keyed_share"] = 1.0;
    document["faults"] = nlohmann::json::parse(
        R"([{"at_s": 0.5, "place": "instance", "index": 1, "kind": "killed"}])");
    const auto settings = experiment::decode_experiment(document, "small");
    BOOST_REQUIRE_MESSAGE(settings.ok(), std::string{settings.status().message()});
    const auto result = experiment::run_experiment(*settings, "standard", [](std::uint64_t) {});
    BOOST_REQUIRE_MESSAGE(result.ok(), std::string{result.status().message()});
    BOOST_TEST(result->report.count(load::outcome::whole) == result->report.size());
    // Upper bound on the time to resume a stream after its instance became unresponsive.
    constexpr core::duration longest_resume = std::chrono::seconds{4};
    BOOST_TEST((load::quantile(result->report.interruptions(), 1.0) <= longest_resume));
}

BOOST_AUTO_TEST_CASE(all_schema_violations_of_an_experiment_file_are_listed)
{
    auto document = small_experiment();
    document["engines"] = 0;
    document["faults"][0]["kind"] = "tired";
    const auto decoded = experiment::decode_experiment(document, "small");
    BOOST_REQUIRE(!decoded.ok());
    const std::string message{decoded.status().message()};
    BOOST_TEST(message.find("/engines") != std::string::npos);
    BOOST_TEST(message.find("/faults/0/kind") != std::string::npos);
}
