#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "instance/instance_fixture.hpp"
#include "instance/routing_component.hpp"
#include "limits/admission_settings.hpp"
#include "support/text_fetcher.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t length = 50;
/// A leaving target must get no new work after this time.
constexpr core::duration leaving_limit = std::chrono::seconds{3};

struct routing_fixture {
    test::instance_fixture fixture{2};
    test::text_fetcher fetcher;

    routing_fixture() { BOOST_REQUIRE(fetcher.start().ok()); }

    void run(int count, std::uint64_t first_number)
    {
        for (int i = 0; i < count; ++i) {
            fixture.send(first_number + static_cast<std::uint64_t>(i), length, true);
        }
        for (int i = 0; i < count; ++i) {
            test::check_whole(fixture.next_result(), length);
        }
    }

    /// @return the value of a metric of the client account `chain`
    double metric(const std::string& name)
    {
        const std::string text = fetcher.get(fixture.address, "/metrics");
        const std::string start =
            "cyclamencourse_" + name + "{account=\"chain\",service=\"notices\",class=\"0\"} ";
        const auto found = text.find(start);
        BOOST_REQUIRE_MESSAGE(found != std::string::npos, name + " is missing in " + text);
        return std::stod(text.substr(found + start.size()));
    }

    /// @return a statistic that the stand-in engine reports
    std::uint64_t stat(std::size_t engine, const char* name)
    {
        const auto stats = nlohmann::json::parse(
            fetcher.get(fixture.engines.at(engine)->listen_address(), "/admin/stats"));
        return stats.at(name).get<std::uint64_t>();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(metrics_are_labelled_with_account_service_and_class, routing_fixture)
{
    run(4, 1);
    BOOST_TEST(metric("first_token_seconds_count") == 4.0);
    BOOST_TEST(metric("tokens_total") == 4.0 * length);
    BOOST_TEST(metric("losses_total") == 0.0);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_engine_gets_no_new_work_after_3_seconds, routing_fixture)
{
    run(4, 1);
    fixture.fault(0, standin::fault_kind::leaving);
    std::this_thread::sleep_for(leaving_limit);
    const std::uint64_t before = stat(0, "tokens_decoded");
    run(8, 10);
    BOOST_TEST(stat(0, "tokens_decoded") == before);
    // A request to a leaving engine would be refused and counted as a loss.
    BOOST_TEST(metric("losses_total") == 0.0);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_engine_finishes_its_streams, routing_fixture)
{
    for (std::uint64_t i = 0; i < 4; ++i) {
        fixture.send(i, 10 * length, true);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    fixture.fault(0, standin::fault_kind::leaving);
    for (int i = 0; i < 4; ++i) {
        test::check_whole(fixture.next_result(), 10 * length);
    }
    BOOST_TEST(metric("losses_total") == 0.0);
}

BOOST_FIXTURE_TEST_CASE(work_beyond_the_capacity_of_the_engines_is_queued_and_answered,
                        routing_fixture)
{
    constexpr int count = 300;
    const double capacity = 2.0 * standin::status_settings{}.capacity;
    const limits::admission_settings settings;
    // By then the engines have reported their capacity.
    std::this_thread::sleep_for(2 * instance::routing_component::query_interval);
    for (int i = 0; i < count; ++i) {
        fixture.send(static_cast<std::uint64_t>(i), 2 * length, true);
    }
    std::uint64_t max_running = 0;
    for (int i = 0; i < count; ++i) {
        max_running = std::max(max_running, stat(0, "running") + stat(1, "running"));
        test::check_whole(fixture.next_result(), 2 * length);
    }
    BOOST_TEST(max_running > 0U);
    BOOST_TEST(static_cast<double>(max_running) <=
               capacity * (1.0 + settings.first_slot_margin) + 1.0);
    BOOST_TEST(metric("refusals_total") == 0.0);
}
