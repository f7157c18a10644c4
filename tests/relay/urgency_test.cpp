#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

const core::service_name service{"engines"};

relay::route make_route(const std::string& prefix, std::uint32_t rank, core::duration goal,
                        bool is_public = false)
{
    return relay::route{.name = prefix,
                        .host = "host",
                        .prefix = prefix,
                        .kind = relay::request_kind::streaming,
                        .answer_limit = 25s,
                        .answer_goal = goal,
                        .pause_goal = 700ms,
                        .rank = rank,
                        .services = {relay::weighted_service{service, 1}},
                        .max_runs = 3,
                        .is_public = is_public,
                        .resumable = true};
}

relay::route_table_ptr make_table(std::vector<relay::route> routes,
                                  std::vector<relay::account> accounts)
{
    return std::make_shared<const relay::route_table>(
        core::revision{2}, std::move(routes),
        std::vector{relay::service_traits{service, "/healthz",
                                          relay::engine_traits{64, 50000, true, true, 4s, {"m"}}}},
        std::move(accounts), relay::caller_limits{16384, 1 << 20, 3s, 15s});
}

relay::account make_account(const std::string& name, std::optional<std::uint32_t> rank)
{
    return relay::account{core::account_name{name}, {"key-" + name}, rank};
}

/// Two kinds of streams: /u/ with rank 0 and a goal of 4 s, /p/ with rank 2 and one of 10 s.
void apply_unequal_routes(relay_fixture& fixture)
{
    fixture.handle(relay::configuration_read{make_table(
        {make_route("/u/", 0, 4s), make_route("/p/", 2, 10s)}, {make_account("1", std::nullopt)})});
}

/// All engines report eight runs with this memory.
void report_memory_used(relay_fixture& fixture, std::uint64_t memory_used)
{
    fixture.loads.clear();
    for (int i = 0; i < 3; ++i) {
        fixture.loads.emplace("t-" + std::to_string(i),
                              relay::reported_load{0, 8, memory_used, 50000, {}, false});
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(the_rank_of_the_account_goes_before_that_of_the_route)
{
    const auto table = make_table(
        {make_route("/a/", 0, 4s), make_route("/b/", 2, 10s), make_route("/c/", 0, 4s, true)},
        {make_account("1", 1), make_account("2", 1), make_account("3", 3)});
    const auto urgency = [&](std::size_t route, const std::string& account) {
        return table->urgency_of(service, table->routes()[route], core::account_name{account});
    };
    BOOST_TEST((urgency(2, "") == 0U));
    BOOST_TEST((urgency(0, "1") == 1U));
    BOOST_TEST((urgency(0, "2") == 1U));
    BOOST_TEST((urgency(1, "1") == 2U));
    BOOST_TEST((urgency(0, "3") == 3U));
    BOOST_TEST((urgency(1, "3") == 4U));
}

BOOST_AUTO_TEST_CASE(requests_have_no_urgency_where_all_ranks_of_a_service_are_equal)
{
    const auto has_urgency = [](const std::vector<relay::route>& routes,
                                const std::vector<relay::account>& accounts) {
        const auto table = make_table(routes, accounts);
        return table
            ->urgency_of(service, table->routes()[0], core::account_name{accounts.front().name})
            .has_value();
    };
    BOOST_TEST(!has_urgency({make_route("/a/", 3, 4s), make_route("/b/", 3, 10s)},
                            {make_account("1", std::nullopt)}));
    BOOST_TEST(!has_urgency({make_route("/a/", 3, 4s), make_route("/b/", 3, 10s)},
                            {make_account("1", 5), make_account("2", 5)}));
    BOOST_TEST(
        has_urgency({make_route("/a/", 0, 4s), make_route("/b/", 3, 10s)}, {make_account("1", 5)}));
    BOOST_TEST(
        has_urgency({make_route("/a/", 3, 4s)}, {make_account("1", 5), make_account("2", 6)}));
}

BOOST_AUTO_TEST_CASE(engines_are_told_the_urgency_of_first_and_of_resumed_attempts)
{
    relay_fixture fixture;
    apply_unequal_routes(fixture);
    fixture.submit(1, "/u/x");
    BOOST_TEST((fixture.last_attempt().urgency == 0U));
    fixture.submit(2, "/p/x");
    BOOST_TEST((fixture.last_attempt().urgency == 1U));
    fixture.stream_to(3);
    fixture.lose_attempt();
    fixture.advance(100ms);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "3");
    BOOST_TEST((fixture.last_attempt().urgency == 1U));
}

BOOST_AUTO_TEST_CASE(waiting_streams_start_in_order_of_urgency)
{
    relay_fixture fixture;
    apply_unequal_routes(fixture);
    report_memory_used(fixture, 49000);
    fixture.submit(1, "/p/x");
    fixture.submit(2, "/p/x");
    fixture.submit(3, "/u/x");
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 0U);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 0U);
    // Runs have ended.
    report_memory_used(fixture, 0);
    fixture.advance(120ms);
    BOOST_REQUIRE(relay_fixture::count<relay::open_attempt>(fixture.to_targets) > 0U);
    const auto first =
        std::find_if(fixture.to_targets.begin(), fixture.to_targets.end(), [](const auto& each) {
            return std::holds_alternative<relay::open_attempt>(*each);
        });
    BOOST_TEST((std::get<relay::open_attempt>(**first).urgency == 0U));
    fixture.advance(500ms);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 3U);
}

BOOST_AUTO_TEST_CASE(a_waiting_stream_is_refused_when_it_can_no_longer_be_on_time)
{
    relay_fixture fixture;
    apply_unequal_routes(fixture);
    report_memory_used(fixture, 49000);
    fixture.submit(1, "/u/x");
    fixture.submit(2, "/p/x");
    fixture.advance(2600ms);
    BOOST_REQUIRE(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 1U);
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    BOOST_TEST(refused->caller.value() == 1U);
    BOOST_TEST(refused->reason.not_run);
    BOOST_TEST((refused->reason.retry_after > 0s));
    // The goal of the other one is longer.
    fixture.advance(3000ms);
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 1U);
    fixture.advance(1000ms);
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 2U);
    BOOST_TEST(fixture.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(a_more_urgent_stream_takes_the_last_place_of_a_full_line)
{
    relay_fixture fixture;
    apply_unequal_routes(fixture);
    report_memory_used(fixture, 49000);
    for (std::uint64_t caller = 1; caller <= 4; ++caller) {
        fixture.submit(caller, "/p/x");
    }
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 0U);
    fixture.submit(5, "/p/x");
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 1U);
    fixture.submit(6, "/u/x");
    fixture.advance(200ms);
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 2U);
    BOOST_TEST(fixture.open_requests() == 4U);
    fixture.handle(relay::caller_gone{relay::caller_id{6}});
    fixture.submit(7, "/p/x");
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 2U);
}
