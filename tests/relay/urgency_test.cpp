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

} // namespace

BOOST_AUTO_TEST_CASE(urgency_is_the_rank_of_the_account_or_else_of_the_route)
{
    const auto table = make_table({make_route("/a/", 4, 4s), make_route("/b/", 4, 4s, true)},
                                  {make_account("1", 2), make_account("2", std::nullopt)});
    const auto urgency = [&](std::size_t route, const std::string& account) {
        return table->urgency_of(service, table->routes()[route], core::account_name{account});
    };
    BOOST_TEST((urgency(0, "1") == 2U));
    BOOST_TEST((urgency(0, "2") == 4U));
    BOOST_TEST((urgency(1, "") == 4U));
}

BOOST_AUTO_TEST_CASE(requests_have_no_urgency_where_all_ranks_of_a_service_are_equal)
{
    const auto equal_routes = make_table({make_route("/a/", 3, 4s), make_route("/b/", 3, 10s)},
                                         {make_account("1", std::nullopt)});
    BOOST_TEST(
        !equal_routes->urgency_of(service, equal_routes->routes()[0], core::account_name{"1"})
             .has_value());
    const auto equal_accounts =
        make_table({make_route("/a/", 0, 4s), make_route("/b/", 3, 10s)}, {make_account("1", 5)});
    BOOST_TEST(
        !equal_accounts->urgency_of(service, equal_accounts->routes()[0], core::account_name{"1"})
             .has_value());
}

BOOST_AUTO_TEST_CASE(engines_are_told_the_urgency_of_first_and_of_resumed_attempts)
{
    relay_fixture fixture;
    apply_unequal_routes(fixture);
    fixture.submit(1, "/u/x");
    BOOST_TEST((fixture.last_attempt().urgency == 0U));
    fixture.submit(2, "/p/x");
    BOOST_TEST((fixture.last_attempt().urgency == 2U));
    fixture.stream_to(3);
    fixture.lose_attempt();
    fixture.advance(100ms);
    BOOST_TEST(fixture.last_attempt().last_event.value_or("") == "3");
    BOOST_TEST((fixture.last_attempt().urgency == 2U));
}
