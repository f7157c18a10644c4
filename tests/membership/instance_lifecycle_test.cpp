#include "membership/instance_lifecycle.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"

using namespace cyclamen;
using membership::instance_event;

namespace {

/// Writes down what an instance is asked to do.
struct recorder final : membership::lifecycle_host {
    void announce(api::member_state state) override { announced.push_back(state); }
    void refuse_work() override { refusing = true; }
    void end_process(bool work_cut) override
    {
        ended = true;
        cut = work_cut;
    }

    std::vector<api::member_state> announced;
    bool refusing = false;
    bool ended = false;
    bool cut = false;
};

struct life_fixture {
    life_fixture() { life.start(now); }

    void raise(instance_event event) { life.raise(event, now); }
    void pass(core::duration length)
    {
        now += length;
        life.on_timer(now);
    }

    core::instant now{};
    recorder host;
    membership::instance_lifecycle life{
        {},
        chart::library::embedded().load("instance", membership::instance_vocabulary()).value(),
        host};
};

} // namespace

BOOST_AUTO_TEST_CASE(an_instance_takes_work_only_while_it_serves)
{
    life_fixture f;
    BOOST_TEST(!f.life.takes_work());
    f.raise(instance_event::configuration_ready);
    BOOST_TEST(f.life.takes_work());
    f.raise(instance_event::stop_requested);
    BOOST_TEST(!f.life.takes_work());
    BOOST_TEST(f.host.refusing);
    BOOST_TEST(!f.host.ended);
    f.raise(instance_event::work_finished);
    f.pass(membership::lifecycle_settings{}.departure_time);
    BOOST_TEST(f.host.ended);
    BOOST_TEST(!f.host.cut);
}

BOOST_AUTO_TEST_CASE(work_is_cut_only_after_the_limit)
{
    life_fixture f;
    f.raise(instance_event::configuration_ready);
    f.raise(instance_event::stop_requested);
    f.pass(membership::lifecycle_settings{}.drain_limit - std::chrono::seconds{1});
    BOOST_TEST(!f.host.ended);
    f.pass(std::chrono::seconds{1});
    BOOST_TEST(f.host.ended);
    BOOST_TEST(f.host.cut);
}

RC_BOOST_PROP(no_order_of_events_lets_a_leaving_instance_serve_again, ())
{
    life_fixture f;
    bool left = false;
    for (int i = 0; i < 12; ++i) {
        const auto event = static_cast<instance_event>(*rc::gen::inRange(0, 6));
        f.raise(event);
        left = left || f.host.refusing || f.host.ended;
        RC_ASSERT(!(left && f.life.takes_work()));
    }
    RC_ASSERT(f.host.announced.empty() || !f.host.ended ||
              f.host.announced.back() == api::member_state::gone);
}
