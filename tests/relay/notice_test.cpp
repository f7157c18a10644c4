#include <set>

#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

void notify(relay_fixture& fixture, const std::string& target, bool leaving, core::duration hold)
{
    fixture.handle(relay::target_notice{core::target_name{target}, "id", leaving, hold});
}

/// @return targets that get the next ten requests
std::set<std::string> used_targets(relay_fixture& fixture, std::uint64_t first_caller)
{
    std::set<std::string> used;
    for (std::uint64_t caller = first_caller; caller < first_caller + 10; ++caller) {
        fixture.submit(caller);
        const relay::open_attempt& opened = fixture.last_attempt();
        used.insert(opened.target.str());
        if (opened.standby.has_value()) {
            used.insert("standby " + opened.standby->ip);
        }
    }
    return used;
}

const core::failure& last_refusal(const relay_fixture& fixture)
{
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    BOOST_REQUIRE(refused != nullptr);
    return refused->reason;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_target_that_says_it_leaves_gets_no_request_until_its_next_incarnation)
{
    relay_fixture fixture;
    notify(fixture, "t-0", true, 0s);
    const auto used = used_targets(fixture, 1);
    BOOST_TEST(!used.contains("t-0"));
    BOOST_TEST(!used.contains("standby 10.1.0.1"));
    // Neither the store nor its loss brings it back.
    fixture.list_targets(3);
    BOOST_TEST(!used_targets(fixture, 20).contains("t-0"));
    fixture.handle(relay::targets_listed{false, {}, {core::target_name{"t-0"}}});
    fixture.list_targets(3);
    BOOST_TEST(!used_targets(fixture, 40).contains("t-0"));
    fixture.handle(relay::targets_listed{false, {relay_fixture::target(0, false, 2000)}, {}});
    BOOST_TEST(used_targets(fixture, 60).contains("t-0"));
}

BOOST_AUTO_TEST_CASE(a_target_that_pushes_back_gets_no_request_until_the_end_of_that_time)
{
    relay_fixture fixture;
    notify(fixture, "t-0", false, 2s);
    BOOST_TEST(!used_targets(fixture, 1).contains("t-0"));
    fixture.advance(1900ms);
    // A shorter time doesn't end it sooner.
    notify(fixture, "t-0", false, 100ms);
    const auto used = used_targets(fixture, 20);
    BOOST_TEST(!used.contains("t-0"));
    BOOST_TEST(!used.contains("standby 10.1.0.1"));
    fixture.advance(200ms);
    BOOST_TEST(used_targets(fixture, 40).contains("t-0"));
}

BOOST_AUTO_TEST_CASE(requests_are_refused_until_the_first_target_returns_if_all_push_back)
{
    relay_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        notify(fixture, "t-" + std::to_string(i), false, std::chrono::seconds{2 + i});
    }
    std::set<core::duration> waits;
    for (std::uint64_t caller = 1; caller <= 20; ++caller) {
        fixture.submit(caller);
        BOOST_TEST(last_refusal(fixture).not_run);
        waits.insert(last_refusal(fixture).retry_after);
    }
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 0U);
    BOOST_TEST((*waits.begin() >= 2s));
    BOOST_TEST((*waits.rbegin() <= 4s));
    BOOST_TEST(waits.size() > 15U);
    fixture.advance(2100ms);
    fixture.submit(30);
    BOOST_TEST(fixture.last_attempt().target.str() == "t-0");
}

BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_at_a_standby_that_pushes_back)
{
    relay_fixture fixture;
    fixture.submit(1);
    const core::socket_address standby = *fixture.last_attempt().standby;
    fixture.stream_to(5);
    for (int i = 0; i < 3; ++i) {
        if (relay_fixture::target(i).address == standby) {
            notify(fixture, "t-" + std::to_string(i), false, 5s);
        }
    }
    fixture.lose_attempt();
    BOOST_TEST((fixture.last_attempt().address != standby));
}

BOOST_AUTO_TEST_CASE(candidates_that_push_back_while_they_are_asked_are_not_chosen)
{
    relay_fixture fixture;
    fixture.targets_answer = false;
    fixture.submit(1);
    for (int i = 0; i < 3; ++i) {
        notify(fixture, "t-" + std::to_string(i), false, 5s);
    }
    const auto* asked = relay_fixture::find_last<relay::ask_target>(fixture.to_targets);
    BOOST_REQUIRE(asked != nullptr);
    fixture.handle(relay::target_answered{asked->request, asked->target,
                                          relay::reported_load{0, 0, 0, 50000, {}, false}});
    fixture.advance(100ms);
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 0U);
    BOOST_TEST(last_refusal(fixture).not_run);
}
