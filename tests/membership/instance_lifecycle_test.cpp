#include "membership/instance_lifecycle.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"

using namespace cyclamen;
using membership::instance_event;

namespace {

/// Records the callbacks.
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

struct lifecycle_fixture {
    lifecycle_fixture() { lifecycle.start(now); }

    void raise(instance_event event) { lifecycle.raise(event, now); }
    void advance(core::duration length)
    {
        now += length;
        lifecycle.on_timer(now);
    }

    core::instant now{};
    recorder host;
    membership::instance_lifecycle lifecycle{
        {},
        chart::library::embedded().load("instance", membership::instance_vocabulary()).value(),
        host};
};

} // namespace

BOOST_AUTO_TEST_CASE(instance_accepts_work_only_while_serving)
{
    lifecycle_fixture f;
    BOOST_TEST(!f.lifecycle.accepts_work());
    f.raise(instance_event::configuration_ready);
    BOOST_TEST(f.lifecycle.accepts_work());
    f.raise(instance_event::stop_requested);
    BOOST_TEST(!f.lifecycle.accepts_work());
    BOOST_TEST(f.host.refusing);
    BOOST_TEST(!f.host.ended);
    f.raise(instance_event::work_finished);
    f.advance(membership::lifecycle_settings{}.departure_time);
    BOOST_TEST(f.host.ended);
    BOOST_TEST(!f.host.cut);
}

BOOST_AUTO_TEST_CASE(unfinished_work_is_cut_off_only_at_the_drain_limit)
{
    lifecycle_fixture f;
    f.raise(instance_event::configuration_ready);
    f.raise(instance_event::stop_requested);
    f.advance(membership::lifecycle_settings{}.drain_limit - std::chrono::seconds{1});
    BOOST_TEST(!f.host.ended);
    f.advance(std::chrono::seconds{1});
    BOOST_TEST(f.host.ended);
    BOOST_TEST(f.host.cut);
}

RC_BOOST_PROP(leaving_instance_never_serves_again_for_any_order_of_events, ())
{
    lifecycle_fixture f;
    bool is_leaving = false;
    for (int i = 0; i < 12; ++i) {
        const auto event = static_cast<instance_event>(*rc::gen::inRange(0, 6));
        f.raise(event);
        is_leaving = is_leaving || f.host.refusing || f.host.ended;
        RC_ASSERT(!(is_leaving && f.lifecycle.accepts_work()));
    }
    RC_ASSERT(f.host.announced.empty() || !f.host.ended ||
              f.host.announced.back() == api::member_state::gone);
}
