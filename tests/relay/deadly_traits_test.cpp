#include "relay/deadly_traits.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;
using relay::crash_suspect;
using relay::request_traits;

namespace {

constexpr std::size_t threshold = 3;

std::vector<request_traits> sets_of(const std::vector<crash_suspect>& suspects)
{
    std::vector<request_traits> sets;
    for (const relay::deadly_set& each : relay::find_deadly_sets(suspects, threshold)) {
        sets.push_back(each.traits);
    }
    return sets;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_trait_is_deadly_after_as_many_crashes_as_the_threshold)
{
    std::vector<crash_suspect> suspects;
    for (const char* crash : {"t-1", "t-2"}) {
        suspects.push_back(crash_suspect{crash, {"a"}, {}});
        suspects.push_back(crash_suspect{crash, {"a"}, {}});
    }
    BOOST_TEST(sets_of(suspects).empty());
    suspects.push_back(crash_suspect{"t-3", {"a"}, core::instant{std::chrono::seconds{7}}});
    const auto sets = relay::find_deadly_sets(suspects, threshold);
    BOOST_REQUIRE(sets.size() == 1U);
    BOOST_TEST((sets.front() == relay::deadly_set{{"a"}, core::instant{std::chrono::seconds{7}}}));
}

BOOST_AUTO_TEST_CASE(a_request_lost_beside_a_deadly_one_three_times_is_cleared_by_the_next_crash)
{
    std::vector<crash_suspect> suspects;
    for (const char* crash : {"t-1", "t-2", "t-3"}) {
        suspects.push_back(crash_suspect{crash, {"deadly"}, {}});
        suspects.push_back(crash_suspect{crash, {"sound"}, {}});
    }
    // Nothing tells them apart yet.
    BOOST_TEST(sets_of(suspects).size() == 2U);
    suspects.push_back(crash_suspect{"t-4", {"deadly"}, {}});
    BOOST_TEST((sets_of(suspects) == std::vector{request_traits{"deadly"}}));
}

// Guards against the suspicion of what most requests share, whatever crashes targets.
BOOST_AUTO_TEST_CASE(a_trait_of_many_suspects_in_each_crash_is_cleared_by_a_rare_one)
{
    std::vector<crash_suspect> suspects;
    for (int i = 0; i < 6; ++i) {
        const std::string crash = "t-" + std::to_string(i);
        suspects.push_back(crash_suspect{crash, {i < 3 ? "deadly-1" : "deadly-2"}, {}});
        for (int beside = 0; beside < 3; ++beside) {
            suspects.push_back(
                crash_suspect{crash, {"popular", "own-" + std::to_string(10 * i + beside)}, {}});
        }
    }
    BOOST_TEST(
        (sets_of(suspects) == std::vector{request_traits{"deadly-1"}, request_traits{"deadly-2"}}));
}

BOOST_AUTO_TEST_CASE(crashes_without_suspects_in_common_have_no_deadly_set)
{
    std::vector<crash_suspect> suspects;
    for (int i = 0; i < 50; ++i) {
        suspects.push_back(
            crash_suspect{"t-" + std::to_string(i / 5), {"part-" + std::to_string(i)}, {}});
    }
    BOOST_TEST(sets_of(suspects).empty());
    BOOST_TEST(sets_of({}).empty());
}
