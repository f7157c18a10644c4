#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "instance/instance.hpp"
#include "model/client_account.hpp"
#include "support/http_get.hpp"
#include "support/table_service.hpp"

using namespace cyclamen;

namespace {

using document = nlohmann::json;

/// An accepted configuration must be in force at all instances within this time.
constexpr core::duration spread_limit = std::chrono::seconds{5};
constexpr int instance_count = 3;

/// Three instances with a shared table service, and requests of operators to them.
class deployment {
  public:
    deployment()
    {
        core::set_log_level(core::log_level::error);
        BOOST_REQUIRE(table.start().ok());
        for (int i = 0; i < instance_count; ++i) {
            addresses.push_back(test::free_address());
            peers.push_back(test::free_address());
        }
        for (int i = 0; i < instance_count; ++i) {
            start_instance(i);
        }
    }
    ~deployment()
    {
        for (const auto& each : instances) {
            each->stop();
        }
        table.stop();
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start_instance(int index)
    {
        const std::string name = core::concat("i", index);
        const document settings{
            {"name", name},
            {"failure_domain", name},
            {"listen", core::to_string(addresses[index])},
            {"peers",
             {{"listen", core::to_string(peers[index])}, {"seeds", {core::to_string(peers[0])}}}},
            {"platform", {{"table", core::to_string(table.address)}}},
            {"operators",
             {{{"name", "ann"}, {"token_hash", model::hash_key("a")}, {"may_apply", true}},
              {{"name", "bob"}, {"token_hash", model::hash_key("b")}}}}};
        const auto decoded = settings::decode_instance_settings(settings, "test");
        BOOST_REQUIRE_MESSAGE(decoded.ok(), std::string{decoded.status().message()});
        auto started = instance::instance::start(*decoded, chart::library::embedded());
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
        instances.push_back(*std::move(started));
    }

    http::request_result send_request(int index, const std::string& method, const std::string& path,
                                      const std::string& token = "a", const std::string& body = "")
    {
        const auto result = http::fetch(
            addresses[index],
            http::request{
                method, "/v1/configuration" + path, {{"authorization", "Bearer " + token}}, body},
            std::chrono::seconds{15});
        BOOST_REQUIRE_MESSAGE(result.ok(), std::string{result.status().message()});
        return *result;
    }

    /// Applies declarations that consist of one service with the given name.
    http::request_result apply(int index, const std::string& service, const std::string& query = "",
                               const std::string& token = "a")
    {
        const document body{{"services", {{{"name", service}, {"kind", "generation"}}}}};
        return send_request(index, "POST", query, token, body.dump());
    }

    bool in_force_everywhere(std::uint64_t revision)
    {
        const core::system_clock clock;
        for (const core::instant end = clock.now() + spread_limit; clock.now() < end;) {
            const document status = document::parse(send_request(1, "GET", "/status").body);
            if (status["newest"] == revision && status["in_force_everywhere"] &&
                status["instances"].size() == instances.size()) {
                return true;
            }
        }
        return false;
    }

    test::table_service table;
    std::vector<core::socket_address> addresses;
    std::vector<core::socket_address> peers;
    std::vector<std::unique_ptr<instance::instance>> instances;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_accepted_configuration_is_in_force_everywhere_within_the_time_limit)
{
    deployment deployed;
    const auto accepted = deployed.apply(0, "notices");
    BOOST_REQUIRE_MESSAGE(accepted.status == 200, accepted.body);
    BOOST_TEST(document::parse(accepted.body)["revision"] == 1);
    BOOST_TEST(deployed.in_force_everywhere(1));
    BOOST_TEST(document::parse(deployed.send_request(2, "GET", "")
                                   .body)["declarations"]["services"][0]["name"] == "notices");
}

BOOST_AUTO_TEST_CASE(an_outdated_expected_revision_conflicts_and_a_rollback_is_a_new_revision)
{
    deployment deployed;
    BOOST_REQUIRE(deployed.apply(0, "first").status == 200);
    BOOST_REQUIRE(deployed.apply(1, "second", "?expect=1").status == 200);
    const auto late = deployed.apply(2, "third", "?expect=1");
    BOOST_TEST(late.status == 409);
    BOOST_TEST(late.body.find("revision 2 of ann") != std::string::npos, late.body);
    BOOST_TEST(document::parse(
                   deployed.send_request(0, "POST", "/rollback?revision=1").body)["revision"] == 3);
    BOOST_TEST(deployed.in_force_everywhere(3));
    BOOST_TEST(document::parse(deployed.send_request(2, "GET", "")
                                   .body)["declarations"]["services"][0]["name"] == "first");
    const document history = document::parse(deployed.send_request(2, "GET", "/history").body);
    BOOST_TEST(history["revisions"].size() == 3U);
    BOOST_TEST(deployed.send_request(0, "POST", "/rollback?revision=9").status == 404);
}

BOOST_AUTO_TEST_CASE(operator_permissions_are_enforced_and_invalid_declarations_are_located)
{
    deployment deployed;
    BOOST_TEST(deployed.apply(0, "x", "", "stranger").status == 401);
    BOOST_TEST(deployed.send_request(0, "GET", "", "stranger").status == 401);
    BOOST_TEST(deployed.send_request(0, "GET", "/status", "").status == 401);
    BOOST_TEST(deployed.apply(0, "x", "", "b").status == 403);
    BOOST_TEST(deployed.send_request(0, "GET", "", "b").status == 200);
    BOOST_TEST(deployed.apply(0, "x", "?dry_run=true").status == 200);
    const auto faulty = deployed.apply(0, "not a name");
    BOOST_TEST(faulty.status == 400);
    BOOST_TEST(faulty.body.find("/services/0/name") != std::string::npos, faulty.body);
    BOOST_TEST(document::parse(deployed.send_request(0, "GET", "").body)["revision"] == 0);
}

BOOST_AUTO_TEST_CASE(during_a_table_outage_apply_is_refused_and_peers_provide_the_configuration)
{
    deployment deployed;
    BOOST_REQUIRE(deployed.apply(0, "notices").status == 200);
    BOOST_REQUIRE(deployed.in_force_everywhere(1));
    deployed.table.set_unavailable(true);
    const auto refused = deployed.apply(0, "other");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.body.find("not accepted") != std::string::npos, refused.body);
    deployed.addresses.push_back(test::free_address());
    deployed.peers.push_back(test::free_address());
    deployed.start_instance(instance_count);
    const core::system_clock clock;
    bool carried = false;
    for (const core::instant end = clock.now() + spread_limit; !carried && clock.now() < end;) {
        carried =
            document::parse(deployed.send_request(instance_count, "GET", "").body)["revision"] == 1;
    }
    BOOST_TEST(carried);
    BOOST_TEST(test::http_get(deployed.addresses[instance_count], "/healthz").status == 200);
}
