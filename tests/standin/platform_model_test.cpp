#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "standin/instance_list.hpp"
#include "standin/platform_task.hpp"
#include "standin/service_task.hpp"
#include "standin/weight_store.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(weight_loads_run_one_after_another)
{
    standin::weight_store weights{2s};
    const core::instant start{};
    BOOST_TEST((weights.begin_load(start) == start + 2s));
    BOOST_TEST((weights.begin_load(start) == start + 4s));
    BOOST_TEST((weights.begin_load(start + 10s) == start + 12s));
}

BOOST_AUTO_TEST_CASE(instance_list_lags_and_removes_instances_without_reports)
{
    standin::instance_list list{2s, 10s};
    const core::instant start{};
    list.report("a", "live", start);
    BOOST_TEST(list.list(start + 1s).empty());
    BOOST_TEST(list.list(start + 2s).at("a") == "live");
    list.report("a", "leaving", start + 3s);
    BOOST_TEST(list.list(start + 4s).at("a") == "live");
    BOOST_TEST(list.list(start + 5s).at("a") == "leaving");
    BOOST_TEST(list.list(start + 15s).empty());
}

BOOST_AUTO_TEST_CASE(fault_names_are_parsed)
{
    BOOST_TEST((standin::parse_platform_fault("losing") == standin::platform_fault::losing));
    BOOST_TEST(
        (standin::parse_service_fault("paused_after") == standin::service_fault::paused_after));
    BOOST_TEST(!standin::parse_platform_fault("odd").has_value());
    BOOST_TEST(!standin::parse_service_fault("odd").has_value());
}
