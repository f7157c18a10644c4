#include "relay/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "relay/member_register.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

RC_BOOST_PROP(a_fleet_keeps_within_its_budget_in_every_window,
              (const std::vector<std::uint8_t>& gaps_ms))
{
    constexpr std::size_t instances = 4;
    const relay::retry_settings settings{.ratio = 0.5, .slack = 20, .window = 1s, .used_part = 1.0};
    const core::service_name service{"s"};
    std::vector<relay::retry_budget> fleet(instances, relay::retry_budget{settings});
    for (relay::retry_budget& each : fleet) {
        each.set_instances(instances);
    }
    core::instant now{};
    std::vector<core::instant> requests;
    std::vector<core::instant> repeats;
    for (std::size_t i = 0; i < gaps_ms.size(); ++i) {
        now += std::chrono::milliseconds{gaps_ms[i]};
        relay::retry_budget& one = fleet[i % instances];
        one.on_request(service, now);
        requests.push_back(now);
        while (one.allows(service, now)) {
            one.on_repeat(service, now);
            repeats.push_back(now);
        }
        const auto within = [&](core::instant each) { return now - each < settings.window; };
        const auto sent = std::count_if(repeats.begin(), repeats.end(), within);
        // Requests count in this window or the one before, whichever has more.
        const auto asked = std::count_if(requests.begin(), requests.end(), [&](core::instant each) {
            return now - each < 2 * settings.window;
        });
        RC_ASSERT(static_cast<double>(sent) <=
                  settings.ratio * static_cast<double>(asked) + settings.slack);
    }
}

BOOST_AUTO_TEST_CASE(an_instance_counts_while_its_entry_changes)
{
    relay::member_register members{5s};
    const relay::member one{core::instance_name{"a"}, core::socket_address{"10.0.0.1", 80},
                            core::failure_domain_name{"x"}};
    const core::instant begin{};
    BOOST_TEST(members.update({relay::member_entry{one, 1}}, begin).size() == 1U);
    BOOST_TEST(members.update({relay::member_entry{one, 1}}, begin + 4s).size() == 1U);
    BOOST_TEST(members.update({relay::member_entry{one, 1}}, begin + 6s).empty());
    BOOST_TEST(members.update({relay::member_entry{one, 2}}, begin + 7s).size() == 1U);
    BOOST_TEST(members.update({}, begin + 8s).empty());
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_their_own_domain_where_it_has_enough_instances)
{
    const core::failure_domain_name x{"x"};
    const core::failure_domain_name y{"y"};
    std::vector<relay::member> members;
    for (std::uint16_t i = 1; i <= 3; ++i) {
        members.emplace_back(core::instance_name{std::to_string(i)},
                             core::socket_address{"10.0.0.1", i}, i == 3 ? y : x);
    }
    BOOST_TEST(relay::choose_entries(members, x, 2).size() == 2U);
    BOOST_TEST(relay::choose_entries(members, y, 2).size() == 3U);
}
