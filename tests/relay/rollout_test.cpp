#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

/// Lists three engines of the old version and three of the new one, and orders the rollout.
void order_rollout(relay_fixture& fixture)
{
    std::vector<relay::target_record> listed;
    for (int i = 0; i < 6; ++i) {
        const relay::target_record known = relay_fixture::target(i);
        listed.push_back(relay::target_record{known.name, known.service, known.address,
                                              known.domain, core::version_name{i < 3 ? "v1" : "v2"},
                                              known.started_at, known.sequence, false});
    }
    fixture.handle(relay::targets_listed{true, listed, {}});
    fixture.handle(relay::rollouts_listed{
        {relay::rollout_order{
            core::service_name{"engines"}, core::version_name{"v2"}, 15s, {1, 9}}},
        {}});
}

bool is_new(const relay_fixture& fixture)
{
    return fixture.last_attempt().target.str() >= "t-3";
}

} // namespace

BOOST_AUTO_TEST_CASE(a_slow_version_gets_few_requests_and_is_rolled_back)
{
    relay_fixture fixture;
    order_rollout(fixture);
    int exposed = 0;
    for (std::uint64_t caller = 1; caller <= 60; ++caller) {
        fixture.submit(caller);
        const bool slow = is_new(fixture);
        exposed += slow ? 1 : 0;
        fixture.advance(slow ? 4200ms : 500ms);
        fixture.stream_to(1);
        fixture.handle(relay::stream_finished{fixture.last_attempt().attempt});
    }
    BOOST_TEST(exposed <= 5);
    const auto* outcome = relay_fixture::find_last<relay::write_rollout_outcome>(fixture.to_store);
    BOOST_REQUIRE(outcome != nullptr);
    BOOST_TEST(!outcome->completed);
    BOOST_TEST(outcome->version.str() == "v2");
}

BOOST_AUTO_TEST_CASE(a_standby_runs_the_version_of_the_target)
{
    relay_fixture fixture;
    order_rollout(fixture);
    for (std::uint64_t caller = 1; caller <= 20; ++caller) {
        fixture.submit(caller);
        const relay::open_attempt& opened = fixture.last_attempt();
        BOOST_REQUIRE(opened.standby.has_value());
        const bool standby_is_new = opened.standby->ip >= "10.1.0.4";
        BOOST_TEST(standby_is_new == is_new(fixture));
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_was_rolled_back_gets_no_request)
{
    relay_fixture fixture;
    order_rollout(fixture);
    fixture.handle(
        relay::rollout_reports_listed{{relay::rollout_outcome{core::service_name{"engines"},
                                                              core::version_name{"v2"},
                                                              relay::rollout_state::rolled_back,
                                                              {1, 10}}},
                                      {}});
    for (std::uint64_t caller = 1; caller <= 60; ++caller) {
        fixture.submit(caller);
        BOOST_TEST(!is_new(fixture));
    }
}

BOOST_AUTO_TEST_CASE(requests_go_to_the_old_version_while_the_new_one_has_no_target)
{
    relay_fixture fixture;
    fixture.handle(relay::rollouts_listed{
        {relay::rollout_order{
            core::service_name{"engines"}, core::version_name{"v2"}, 15s, {1, 9}}},
        {}});
    for (std::uint64_t caller = 1; caller <= 20; ++caller) {
        fixture.submit(caller);
    }
    BOOST_TEST(relay_fixture::count<relay::open_attempt>(fixture.to_targets) == 20U);
}

BOOST_AUTO_TEST_CASE(an_order_that_a_restored_store_replaces_for_a_moment_goes_on_where_it_was)
{
    test::relay_fixture fixture;
    order_rollout(fixture);
    const auto order = [](const char* version, const core::store_version& position) {
        return relay::rollout_order{core::service_name{"engines"}, core::version_name{version}, 15s,
                                    position};
    };
    fixture.advance(10s);
    fixture.handle(relay::rollouts_listed{{order("v1", {2, 3})}, {}});
    fixture.advance(1s);
    fixture.handle(relay::rollouts_listed{{order("v2", {2, 7})}, {}});
    // The deadline is that of the first order: no request has shown that the version is good.
    fixture.advance(4s);
    BOOST_TEST(test::relay_fixture::count<relay::write_rollout_outcome>(fixture.to_store) > 0U);
}
