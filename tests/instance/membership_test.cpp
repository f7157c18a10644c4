#include <map>
#include <optional>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "instance/instance_fixture.hpp"
#include "support/http_get.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t length = 300;
constexpr core::duration shutdown_timeout = std::chrono::seconds{20};
/// A leaving instance must have shut down, and must not be recommended any more, within this time.
constexpr core::duration leaving_limit = std::chrono::seconds{2};

std::unique_ptr<instance::instance> start_instance(const std::string& name,
                                                   const core::socket_address& listen,
                                                   const core::socket_address& peers,
                                                   const core::socket_address& seed)
{
    const auto decoded = settings::decode_instance_settings(
        {{"name", name},
         {"failure_domain", "domain-of-" + name},
         {"listen", core::to_string(listen)},
         {"log_level", "warning"},
         {"peers", {{"listen", core::to_string(peers)}, {"seeds", {core::to_string(seed)}}}}},
        "test");
    BOOST_REQUIRE_MESSAGE(decoded.ok(), std::string{decoded.status().message()});
    auto started = instance::instance::start(*decoded, chart::library::embedded());
    BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
    return *std::move(started);
}

std::string preferred_instance(const core::socket_address& address)
{
    return nlohmann::json::parse(test::http_get(address, "/v1/instances").body)["use"];
}

/// Queries an instance repeatedly until it recommends the expected one.
/// @return true if it did so within 2000 queries
bool is_eventually_preferred(const core::socket_address& by, const core::socket_address& expected)
{
    for (int i = 0; i < 2000; ++i) {
        if (preferred_instance(by) == core::to_string(expected)) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_graceful_shutdown_finishes_streams_and_refuses_new_work)
{
    test::instance_fixture fixture{1};
    BOOST_TEST(test::http_get(fixture.address, "/healthz").body == R"({"status":"ok"})");
    fixture.send(1, length, true);
    fixture.send(2, length, false);
    BOOST_TEST(!fixture.entry->wait_left(std::chrono::milliseconds{150}).has_value());
    fixture.entry->request_stop();
    BOOST_TEST(!fixture.entry->wait_left(std::chrono::milliseconds{50}).has_value());
    fixture.send(3, length, true);
    std::map<std::uint64_t, load::generation_result> results;
    for (int i = 0; i < 3; ++i) {
        const auto result = fixture.next_result();
        results.emplace(result.number.value(), result);
    }
    test::check_whole(results.at(1), length);
    test::check_whole(results.at(2), length);
    BOOST_TEST(results.at(3).status == 503);
    BOOST_TEST(results.at(3).error.find("\"not_run\":true") != std::string::npos,
               results.at(3).error);
    const auto left = fixture.entry->wait_left(shutdown_timeout);
    BOOST_REQUIRE(left.has_value());
    BOOST_TEST(!left->work_cut);
    const auto health = test::http_get(fixture.address, "/healthz");
    BOOST_TEST(health.status == 503);
    BOOST_TEST(health.body == R"({"status":"draining"})");
}

BOOST_AUTO_TEST_CASE(instances_recommend_each_other_until_one_leaves)
{
    const core::socket_address listen[] = {test::free_address(), test::free_address()};
    const core::socket_address peers[] = {test::free_address(), test::free_address()};
    const auto first = start_instance("first", listen[0], peers[0], peers[1]);
    const auto second = start_instance("second", listen[1], peers[1], peers[0]);
    BOOST_TEST(is_eventually_preferred(listen[0], listen[1]));
    BOOST_TEST(is_eventually_preferred(listen[1], listen[0]));
    second->request_stop();
    // The departing instance stops recommending itself at once; the other one does so in time.
    BOOST_TEST(is_eventually_preferred(listen[1], listen[0]));
    BOOST_TEST(second->wait_left(leaving_limit).has_value());
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(preferred_instance(listen[0]) == core::to_string(listen[0]));
    }
}
