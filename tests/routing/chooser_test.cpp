#include "routing/fewest_open_chooser.hpp"

#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"

using namespace cyclamen;

namespace {

routing::placement_request make_request(std::set<core::target_name> avoided = {})
{
    return routing::placement_request{core::service_name{"notices"}, core::version_name{"v1"}, "",
                                      std::move(avoided), false};
}

} // namespace

BOOST_AUTO_TEST_CASE(spreads_attempts_and_avoids_a_target_after_a_loss)
{
    core::manual_clock clock;
    routing::fewest_open_chooser chooser;
    chooser.configure(test::make_configuration(2));
    const auto first = chooser.choose(make_request(), clock.now());
    BOOST_REQUIRE(first.ok());
    chooser.on_opened(first->name, clock.now());
    const auto second = chooser.choose(make_request(), clock.now());
    BOOST_TEST((second->name != first->name));
    chooser.on_lost(first->name, clock.now());
    chooser.on_opened(second->name, clock.now());
    BOOST_TEST((chooser.choose(make_request(), clock.now())->name == second->name));
    clock.advance(std::chrono::seconds{3});
    BOOST_TEST((chooser.choose(make_request(), clock.now())->name == first->name));
    BOOST_TEST((chooser.choose(make_request({first->name}), clock.now())->name == second->name));
}

BOOST_AUTO_TEST_CASE(choosing_without_targets_fails)
{
    routing::fewest_open_chooser chooser;
    chooser.configure(test::make_configuration(0));
    BOOST_TEST(!chooser.choose(make_request(), {}).ok());
}
