#include "routing/target_health.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"
#include "core/clock.hpp"

using namespace cyclamen;

namespace {

/// Allows up to a fixed number of simultaneous ejections.
class limited_budget final : public routing::ejection_budget {
  public:
    explicit limited_budget(int most) : max_ejected_{most} {}
    [[nodiscard]] bool can_eject_another() const override { return ejected < max_ejected_; }
    void on_ejection_changed(bool is_ejected) override { ejected += is_ejected ? 1 : -1; }

    int ejected = 0;

  private:
    int max_ejected_;
};

std::shared_ptr<const chart::chart> health_chart()
{
    return *chart::library::embedded().load("target_health", routing::target_health_vocabulary());
}

struct fixture {
    core::manual_clock clock;
    routing::health_settings settings;
    limited_budget budget{1};
    routing::target_health health{settings, health_chart(), budget};

    void lose(int times)
    {
        for (int i = 0; i < times; ++i) {
            health.on_loss(clock.now());
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(one_loss_makes_a_target_suspect_and_two_eject_it, fixture)
{
    lose(1);
    BOOST_TEST((health.current_readiness(clock.now()) == routing::readiness::suspect));
    lose(1);
    BOOST_TEST((health.current_readiness(clock.now()) == routing::readiness::ejected));
    BOOST_TEST(budget.ejected == 1);
    clock.advance(settings.base_ejection_time);
    BOOST_TEST((health.current_readiness(clock.now()) == routing::readiness::ready));
    BOOST_TEST(health.state_name() == "probing");
    BOOST_TEST(budget.ejected == 0);
}

BOOST_FIXTURE_TEST_CASE(a_suspect_target_recovers_without_further_losses, fixture)
{
    lose(1);
    clock.advance(settings.suspect_time);
    BOOST_TEST((health.current_readiness(clock.now()) == routing::readiness::ready));
    BOOST_TEST(health.weight(clock.now()) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(a_returning_target_ramps_up, fixture)
{
    lose(2);
    clock.advance(settings.base_ejection_time);
    BOOST_TEST(health.weight(clock.now()) == settings.initial_weight);
    for (std::uint32_t i = 0; i < settings.ramp_successes; ++i) {
        health.on_success(clock.now());
    }
    // Successes alone don't complete the ramp before its minimum time.
    BOOST_TEST(health.weight(clock.now()) == settings.initial_weight);
    clock.advance(settings.ramp_time / 2);
    BOOST_TEST(health.weight(clock.now()) == 0.5, boost::test_tools::tolerance(0.01));
    clock.advance(settings.ramp_time / 2);
    health.on_success(clock.now());
    BOOST_TEST(health.state_name() == "up");
}

BOOST_FIXTURE_TEST_CASE(consecutive_ejections_double_in_length, fixture)
{
    lose(2);
    clock.advance(settings.base_ejection_time);
    lose(1);
    clock.advance(settings.base_ejection_time);
    BOOST_TEST((health.current_readiness(clock.now()) == routing::readiness::ejected));
    clock.advance(settings.base_ejection_time);
    BOOST_TEST((health.current_readiness(clock.now()) == routing::readiness::ready));
}

BOOST_FIXTURE_TEST_CASE(a_loss_rate_of_a_third_ejects_and_one_of_a_tenth_does_not, fixture)
{
    for (int i = 0; i < 100; ++i) {
        health.on_success(clock.now());
        if (i % 10 == 0) {
            lose(1);
        }
        BOOST_TEST((health.current_readiness(clock.now()) != routing::readiness::ejected));
    }
    for (int i = 0; i < 30 && health.state_name() != "ejected"; ++i) {
        clock.advance(settings.suspect_time);
        lose(1);
        health.on_success(clock.now());
        health.on_success(clock.now());
    }
    BOOST_TEST(health.state_name() == "ejected");
}

RC_BOOST_PROP(a_leaving_target_gets_no_work_until_it_returns, ())
{
    fixture f;
    f.health.on_leaving(f.clock.now());
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    for (const int event : events) {
        if (event == 0) {
            f.health.on_loss(f.clock.now());
        }
        else if (event == 1) {
            f.health.on_success(f.clock.now());
        }
        f.clock.advance(std::chrono::seconds{event});
        RC_ASSERT(f.health.current_readiness(f.clock.now()) == routing::readiness::leaving);
    }
    f.health.on_returned(f.clock.now());
    RC_ASSERT(f.health.current_readiness(f.clock.now()) == routing::readiness::ready);
    RC_ASSERT(f.health.weight(f.clock.now()) < 1.0);
}

RC_BOOST_PROP(the_budget_matches_the_ejection_state_after_any_events, ())
{
    fixture f;
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (const int event : events) {
        switch (event) {
        case 0:
            f.health.on_loss(f.clock.now());
            break;
        case 1:
            f.health.on_success(f.clock.now());
            break;
        case 2:
            f.health.on_leaving(f.clock.now());
            break;
        case 3:
            f.health.on_returned(f.clock.now());
            break;
        default:
            f.clock.advance(std::chrono::seconds{1});
        }
        const bool ejected =
            f.health.current_readiness(f.clock.now()) == routing::readiness::ejected;
        RC_ASSERT(f.budget.ejected == (ejected ? 1 : 0));
    }
}
