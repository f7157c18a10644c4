#include "relay/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

using namespace cyclamen;
using namespace std::chrono_literals;

RC_BOOST_PROP(fleet_stays_within_its_retry_budget_in_every_window,
              (const std::vector<std::uint8_t>& gaps_ms))
{
    constexpr std::size_t instances = 4;
    const relay::retry_settings settings{
        .ratio = 0.5, .slack = 20, .window = 1s, .used_fraction = 1.0};
    const core::service_name service{"s"};
    std::vector<relay::retry_budget> fleet(instances, relay::retry_budget{settings});
    for (relay::retry_budget& budget : fleet) {
        budget.set_instances(instances);
    }
    core::instant now{};
    std::vector<core::instant> requests;
    std::vector<core::instant> retries;
    for (std::size_t i = 0; i < gaps_ms.size(); ++i) {
        now += std::chrono::milliseconds{gaps_ms[i]};
        relay::retry_budget& budget = fleet[i % instances];
        budget.on_request(service, now);
        requests.push_back(now);
        while (budget.allows(service, now)) {
            budget.on_retry(service, now);
            retries.push_back(now);
        }
        const auto within = [&](core::instant each) { return now - each < settings.window; };
        const auto retried = std::count_if(retries.begin(), retries.end(), within);
        // A retry may be covered by any request of the window before it: the last two windows.
        const auto requested =
            std::count_if(requests.begin(), requests.end(),
                          [&](core::instant each) { return now - each < 2 * settings.window; });
        RC_ASSERT(static_cast<double>(retried) <=
                  settings.ratio * static_cast<double>(requested) + settings.slack);
    }
}

BOOST_AUTO_TEST_CASE(an_instance_that_does_not_know_the_fleet_uses_no_slack)
{
    relay::retry_budget budget{
        relay::retry_settings{.ratio = 0.5, .slack = 20, .window = 1s, .used_fraction = 1.0}};
    const core::service_name service{"s"};
    const core::instant now{10s};
    BOOST_TEST(!budget.allows(service, now));
    budget.set_instances(4);
    BOOST_TEST(budget.allows(service, now));
}

BOOST_AUTO_TEST_CASE(a_fleet_whose_processes_are_all_restarted_stays_within_its_budget)
{
    constexpr std::size_t instances = 4;
    const relay::retry_settings settings{
        .ratio = 0.5, .slack = 20, .window = 1s, .used_fraction = 1.0};
    const core::service_name service{"s"};
    core::instant now{10s};
    std::size_t retries = 0;
    for (int life = 0; life < 2; ++life) {
        for (std::size_t i = 0; i < instances; ++i) {
            relay::retry_budget budget{settings};
            budget.start(life == 0 ? now - settings.window : now);
            budget.set_instances(instances);
            while (budget.allows(service, now)) {
                budget.on_retry(service, now);
                ++retries;
            }
        }
        now += 100ms;
    }
    BOOST_TEST(static_cast<double>(retries) <= settings.slack);
}
