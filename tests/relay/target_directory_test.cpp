#include "relay/round_robin_chooser.hpp"
#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

BOOST_AUTO_TEST_CASE(leaving_target_gets_no_request)
{
    relay_fixture fixture;
    fixture.handle(relay::targets_listed{false, {relay_fixture::target(0, true)}, {}});
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        fixture.submit(caller);
        BOOST_TEST(fixture.last_attempt().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(target_with_the_address_of_an_older_one_replaces_it)
{
    relay_fixture fixture;
    const relay::target_record old = relay_fixture::target(0);
    const relay::target_record later{core::target_name{"t-new"},
                                     old.service,
                                     old.address,
                                     old.domain,
                                     old.version,
                                     core::wall_time{std::chrono::milliseconds{2000}},
                                     1,
                                     false};
    fixture.handle(relay::targets_listed{false, {later}, {}});
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        fixture.submit(caller);
        BOOST_TEST(fixture.last_attempt().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(record_of_an_earlier_incarnation_is_ignored)
{
    relay_fixture fixture;
    fixture.handle(relay::targets_listed{false, {relay_fixture::target(0, false, 2000)}, {}});
    fixture.handle(relay::targets_listed{false, {relay_fixture::target(0, true, 1000)}, {}});
    std::set<std::string> used;
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        fixture.submit(caller);
        used.insert(fixture.last_attempt().target.str());
    }
    BOOST_TEST(used.contains("t-0"));
}

BOOST_AUTO_TEST_CASE(out_of_order_record_does_not_bring_a_leaving_target_back)
{
    relay_fixture fixture;
    fixture.handle(relay::targets_listed{false, {relay_fixture::target(0, true)}, {}});
    fixture.handle(relay::targets_listed{false, {relay_fixture::target(0, false)}, {}});
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        fixture.submit(caller);
        BOOST_TEST(fixture.last_attempt().target.str() != "t-0");
    }
}

BOOST_AUTO_TEST_CASE(restarted_engine_is_used_under_its_new_name_if_its_models_identify_its_service)
{
    for (const bool same_models : {true, false}) {
        relay_fixture fixture;
        fixture.list_targets(1);
        fixture.submit(1);
        fixture.handle(relay::attempt_rejected{fixture.last_attempt().attempt, 421, true});
        const auto* asked = relay_fixture::find_last<relay::identify_target>(fixture.to_targets);
        BOOST_REQUIRE(asked != nullptr);
        fixture.handle(relay::target_identified{
            asked->former,
            core::target_name{"t-new"},
            relay::reported_load{0, 0, 0, 50000, core::wall_time{std::chrono::milliseconds{5000}},
                                 false},
            {same_models ? "m" : "other"}});
        fixture.advance(100ms);
        BOOST_TEST((fixture.last_attempt().target.str() == "t-new") == same_models);
    }
}

BOOST_AUTO_TEST_CASE(failure_domain_with_two_lost_targets_is_chosen_last)
{
    relay_fixture fixture{relay::request_kind::safe};
    fixture.list_targets(9);
    // Domain a contains t-0, t-3 and t-6.
    std::set<std::string> lost;
    for (std::uint64_t caller = 1; lost.size() < 2; ++caller) {
        fixture.submit(caller);
        const std::string target = fixture.last_attempt().target.str();
        if ((target.back() - '0') % 3 == 0) {
            fixture.lose_attempt();
            lost.insert(target);
        }
    }
    for (std::uint64_t caller = 101; caller <= 108; ++caller) {
        fixture.submit(caller);
        BOOST_TEST((fixture.last_attempt().target.str().back() - '0') % 3 != 0);
    }
}

BOOST_AUTO_TEST_CASE(requests_are_spread_over_targets)
{
    relay_fixture fixture;
    fixture.list_targets(12);
    std::set<std::string> used;
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
        fixture.submit(caller);
        used.insert(fixture.last_attempt().target.str());
    }
    BOOST_TEST(used.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(least_work_chooser_selects_the_idle_engine_and_round_robin_alternates)
{
    const relay::target_record first = relay_fixture::target(0);
    const relay::target_record second = relay_fixture::target(1);
    const relay::local_work busy{2, 5000, 0};
    const relay::local_work idle{};
    const std::vector<relay::candidate> candidates{{&first, &busy, 0.0, nullptr},
                                                   {&second, &idle, 0.5, nullptr}};
    relay::least_work_chooser least{relay::placement_settings{}};
    relay::round_robin_chooser turns;
    const core::failure_domain_name local_domain{"a"};
    BOOST_TEST(least.choose(candidates, local_domain) == 1U);
    BOOST_TEST(turns.choose(candidates, local_domain) == 0U);
    BOOST_TEST(turns.choose(candidates, local_domain) == 1U);
}
