#include <boost/test/unit_test.hpp>

#include "relay/least_work_chooser.hpp"
#include "routing/pace_source.hpp"
#include "test_fixture.hpp"

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

const core::failure_domain_name local_domain{"a"};
const relay::local_work no_work{};

std::size_t choose(const std::vector<relay::candidate>& candidates)
{
    return relay::least_work_chooser{relay::placement_settings{}}.choose(candidates, local_domain);
}

} // namespace

BOOST_AUTO_TEST_CASE(idle_slow_engine_is_chosen_after_a_usual_one_that_has_some_work)
{
    const relay::target_record slow = relay_fixture::target(0);
    const relay::target_record usual = relay_fixture::target(3);
    const relay::reported_load idle{0, 0, 0, 55000, {}, false};
    const relay::reported_load busy{0, 2, 10000, 55000, {}, false};
    BOOST_TEST(choose({{&slow, &no_work, 0.0, &idle, 1.0, 0, 5200},
                       {&usual, &no_work, 0.0, &busy, 1.0, 0, 5200}}) == 0U);
    BOOST_TEST(choose({{&slow, &no_work, 0.0, &idle, 3.0, 0, 5200},
                       {&usual, &no_work, 0.0, &busy, 1.0, 0, 5200}}) == 1U);
    // A slow engine is better than one with a long queue.
    const relay::reported_load full{4, 16, 50000, 55000, {}, false};
    BOOST_TEST(choose({{&slow, &no_work, 0.0, &idle, 3.0, 0, 5200},
                       {&usual, &no_work, 0.0, &full, 1.0, 0, 5200}}) == 0U);
}

BOOST_AUTO_TEST_CASE(engine_gets_no_more_requests_than_it_takes_well_while_another_has_room)
{
    const relay::target_record first = relay_fixture::target(0);
    const relay::target_record second = relay_fixture::target(3);
    const relay::reported_load at_limit{0, 8, 20000, 55000, {}, false};
    const relay::reported_load beyond{0, 9, 20000, 55000, {}, false};
    BOOST_TEST(choose({{&first, &no_work, 0.0, &at_limit, 1.0, 0, 5200},
                       {&second, &no_work, 0.0, &beyond, 1.0, 0, 5200}}) == 0U);
    BOOST_TEST(choose({{&first, &no_work, 0.0, &at_limit, 1.0, 8, 5200},
                       {&second, &no_work, 0.0, &beyond, 1.0, 0, 5200}}) == 1U);
}

BOOST_AUTO_TEST_CASE(request_goes_past_an_engine_that_other_instances_know_as_slow)
{
    relay_fixture fixture;
    const std::uint64_t first_caller = 1;
    fixture.submit(first_caller);
    const core::target_name preferred = fixture.last_attempt().target;
    std::vector<routing::pace_report> slow;
    for (int i = 0; i < 3; ++i) {
        const relay::target_record each = relay_fixture::target(i);
        if (each.name == preferred) {
            slow.push_back(routing::pace_report{each.name, each.started_at, 6.0, 6.0, 0s});
        }
    }
    relay_fixture informed;
    informed.handle(relay::paces_merged{slow});
    informed.submit(first_caller);
    BOOST_TEST((informed.last_attempt().target != preferred));
    // What is known is forgotten with age.
    relay_fixture later;
    later.handle(relay::paces_merged{slow});
    later.advance(90s);
    later.submit(first_caller);
    BOOST_TEST((later.last_attempt().target == preferred));
}
