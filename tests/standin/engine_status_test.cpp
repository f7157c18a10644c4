#include "standin/engine_status.hpp"

#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "model/prefix_blocks.hpp"

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(load_is_reported_as_it_was_one_lag_ago)
{
    core::manual_clock clock;
    standin::engine_status status{{std::chrono::milliseconds{500}, 4}};
    status.on_running_count(3, clock.now());
    BOOST_TEST(status.load(false, clock.now()).running == 0U);
    clock.advance(std::chrono::milliseconds{500});
    status.on_running_count(6, clock.now());
    BOOST_TEST(status.load(false, clock.now()).running == 3U);
    clock.advance(std::chrono::milliseconds{500});
    BOOST_TEST(status.load(false, clock.now()).running == 4U);
    BOOST_TEST(status.load(false, clock.now()).waiting == 2U);
}

BOOST_AUTO_TEST_CASE(cache_events_are_delayed_have_gaps_and_list_evicted_blocks)
{
    core::manual_clock clock;
    standin::engine_status status{{std::chrono::milliseconds{500}, 4, 2, 3}};
    std::vector<std::uint64_t> blocks;
    for (char letter = 'a'; letter < 'e'; ++letter) {
        const std::string prompt(model::prefix_block_bytes, letter);
        blocks.push_back(model::prefix_blocks(prompt).front());
        status.record_prompt(prompt, clock.now());
    }
    BOOST_TEST(status.cache_events(0, clock.now()).empty());
    clock.advance(std::chrono::milliseconds{500});
    const auto events = status.cache_events(1, clock.now());
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].number == 2U);
    BOOST_TEST(events[1].number == 4U);
    BOOST_TEST((events[1].stored == std::vector{blocks[3]}));
    BOOST_TEST((events[1].dropped == std::vector{blocks[1]}));
}
