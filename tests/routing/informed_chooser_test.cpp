#include "routing/informed_chooser.hpp"

#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"
#include "core/clock.hpp"
#include "model/prefix_blocks.hpp"

using namespace cyclamen;

namespace {

const std::string long_prompt(16 * model::prefix_block_bytes, 'p');

model::target make_target(int number, const std::string& domain = "regina",
                          const std::string& version = "v1")
{
    return model::target{core::target_name{"t" + std::to_string(number)},
                         core::service_name{"notices"},
                         core::version_name{version},
                         {"127.0.0.1", static_cast<std::uint16_t>(1 + number)},
                         core::failure_domain_name{domain},
                         model::label_set{{{"rack", number % 2 == 0 ? "even" : "odd"}}},
                         true};
}

struct fixture {
    core::manual_clock clock;
    routing::informed_chooser chooser{
        routing::chooser_settings{core::failure_domain_name{"regina"}},
        *chart::library::embedded().load("target_health", routing::target_health_vocabulary()),
        std::make_unique<routing::seeded_random>(1)};

    void declare(std::vector<model::target> targets)
    {
        chooser.configure(std::make_shared<const model::configuration>(
            model::configuration{core::revision{1}, {}, std::move(targets), {}}));
    }

    void declare_even(int count)
    {
        std::vector<model::target> targets;
        for (int i = 0; i < count; ++i) {
            targets.push_back(make_target(i));
        }
        declare(std::move(targets));
    }

    std::optional<std::string> choose(const std::string& prompt = "",
                                      std::set<core::target_name> avoided = {},
                                      model::selector eligible = {})
    {
        const auto chosen = chooser.choose(
            routing::placement_request{core::service_name{"notices"}, core::version_name{"v1"},
                                       prompt, std::move(avoided), false, std::move(eligible)},
            clock.now());
        return chosen.ok() ? std::optional{chosen->name.str()} : std::nullopt;
    }

    std::string open(const std::string& prompt = "")
    {
        const auto chosen = choose(prompt);
        BOOST_REQUIRE(chosen.has_value());
        chooser.on_opened(core::target_name{*chosen}, clock.now());
        return *chosen;
    }

    void lose(const std::string& target)
    {
        chooser.on_lost(core::target_name{target}, clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requests_spread_evenly_over_equal_targets, fixture)
{
    declare_even(5);
    std::map<std::string, int> opened;
    for (int i = 0; i < 50; ++i) {
        ++opened[open()];
    }
    for (const auto& [target, count] : opened) {
        BOOST_TEST(count >= 8);
        BOOST_TEST(count <= 12);
    }
}

BOOST_FIXTURE_TEST_CASE(filters_by_version_and_labels_before_avoided_targets, fixture)
{
    declare({make_target(0), make_target(1), make_target(2, "regina", "v2")});
    const auto even = model::selector::parse("rack=even");
    BOOST_REQUIRE(even.ok());
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(choose("", {}, *even).value() == "t0");
        BOOST_TEST(choose("", {core::target_name{"t0"}}).value() == "t1");
        BOOST_TEST(choose("", {core::target_name{"t0"}}, *even).value() == "t0");
    }
}

BOOST_FIXTURE_TEST_CASE(prefers_the_prefix_holder_until_it_is_overloaded, fixture)
{
    declare_even(10);
    const std::string holder = open(long_prompt);
    BOOST_TEST(choose(long_prompt).value() == holder);
    for (int i = 0; i < 20; ++i) {
        chooser.on_opened(core::target_name{holder}, clock.now());
    }
    BOOST_TEST(choose(long_prompt).value() != holder);
}

BOOST_FIXTURE_TEST_CASE(uses_reported_cache_changes, fixture)
{
    declare_even(10);
    const auto blocks = model::prefix_blocks(long_prompt);
    chooser.on_cache(core::target_name{"t7"}, {1, blocks, {}, core::duration::zero()}, clock.now());
    BOOST_TEST(choose(long_prompt).value() == "t7");
    chooser.on_cache(core::target_name{"t7"}, {2, {}, blocks, core::duration::zero()},
                     clock.now() + std::chrono::seconds{1});
    BOOST_TEST(chooser.prefixes().holders(blocks, clock.now() + std::chrono::seconds{1}).size() <=
               1U);
}

BOOST_FIXTURE_TEST_CASE(prefers_own_failure_domain_without_overloading_it, fixture)
{
    declare({make_target(0), make_target(1, "saskatoon")});
    BOOST_TEST(open() == "t0");
    std::map<std::string, int> opened;
    for (int i = 0; i < 39; ++i) {
        ++opened[open()];
    }
    BOOST_TEST(opened["t1"] >= 18);
}

BOOST_FIXTURE_TEST_CASE(reported_load_decays_to_the_average, fixture)
{
    declare_even(2);
    chooser.on_load(core::target_name{"t0"}, {30, 10, 32, {}}, clock.now());
    chooser.on_load(core::target_name{"t1"}, {4, 0, 32, {}}, clock.now());
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(choose().value() == "t1");
    }
    const auto load = [&](const char* target) {
        return chooser.find(core::target_name{target})->load.estimate(22.0, clock.now());
    };
    BOOST_TEST(load("t0") == 40.0);
    clock.advance(std::chrono::seconds{60});
    BOOST_TEST(load("t0") == 22.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(load("t1") == 22.0, boost::test_tools::tolerance(0.01));
}

BOOST_FIXTURE_TEST_CASE(own_attempts_in_a_report_are_not_counted_twice, fixture)
{
    declare_even(1);
    open();
    open();
    clock.advance(std::chrono::seconds{2});
    open();
    // The report was taken one second ago, so it includes only the first two attempts.
    chooser.on_load(core::target_name{"t0"}, {5, 0, 0, std::chrono::seconds{1}}, clock.now());
    const auto& load = chooser.find(core::target_name{"t0"})->load;
    BOOST_TEST(load.reported_other_load().value() == 3.0);
    BOOST_TEST(load.estimate(3.0, clock.now()) == 6.0);
}

BOOST_FIXTURE_TEST_CASE(at_most_half_is_ejected_when_every_target_fails, fixture)
{
    declare_even(10);
    std::set<std::string> used;
    for (int second = 0; second < 120; ++second) {
        for (int i = 0; i < 10; ++i) {
            const auto target = choose();
            BOOST_REQUIRE(target.has_value());
            chooser.on_opened(core::target_name{*target}, clock.now());
            lose(*target);
            used.insert(*target);
        }
        int ejected = 0;
        for (int i = 0; i < 10; ++i) {
            const auto* state = chooser.find(core::target_name{"t" + std::to_string(i)});
            ejected += state->health->current_readiness(clock.now()) == routing::readiness::ejected
                           ? 1
                           : 0;
        }
        BOOST_TEST(ejected <= 5);
        clock.advance(std::chrono::seconds{1});
    }
    BOOST_TEST(used.size() == 10U);
}

BOOST_FIXTURE_TEST_CASE(leaving_and_undeclared_targets_get_no_work_and_returned_ones_ramp_up,
                        fixture)
{
    declare_even(3);
    chooser.on_leaving(core::target_name{"t0"}, clock.now());
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(open() != "t0");
    }
    declare({make_target(0), make_target(1)});
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(open() == "t1");
    }
    declare_even(2);
    chooser.on_returned(core::target_name{"t0"}, clock.now());
    int at_once = 0;
    for (int i = 0; i < 100; ++i) {
        at_once += choose().value() == "t0" ? 1 : 0;
    }
    BOOST_TEST(at_once > 0);
    BOOST_TEST(at_once < 50);
    chooser.on_leaving(core::target_name{"t0"}, clock.now());
    chooser.on_leaving(core::target_name{"t1"}, clock.now());
    BOOST_TEST(!choose().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_target_redeclared_with_another_version_leaves_its_old_pool, fixture)
{
    declare({make_target(0), make_target(1)});
    open();
    declare({make_target(0, "regina", "v2"), make_target(1)});
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(open() == "t1");
    }
    lose("t0");
    lose("gone");
}

RC_BOOST_PROP(never_chooses_a_leaving_target, ())
{
    fixture f;
    f.declare_even(6);
    std::set<std::string> leaving;
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 6)));
    for (const auto& [event, number] : events) {
        const core::target_name target{"t" + std::to_string(number)};
        if (event == 0) {
            f.chooser.on_leaving(target, f.clock.now());
            leaving.insert(target.str());
        }
        else if (event == 1) {
            f.chooser.on_returned(target, f.clock.now());
            leaving.erase(target.str());
        }
        else if (event == 2) {
            f.chooser.on_lost(target, f.clock.now());
        }
        else if (event == 3) {
            f.chooser.on_opened(target, f.clock.now());
        }
        f.clock.advance(std::chrono::milliseconds{300});
        const auto chosen = f.choose(long_prompt);
        RC_ASSERT(chosen.has_value() == (leaving.size() < 6));
        RC_ASSERT(!chosen.has_value() || !leaving.contains(*chosen));
    }
}
