#include "generation/placement_queue.hpp"

#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(resumes_are_placed_first_by_deadline_and_within_their_budget)
{
    constexpr double rate = 10.0;
    constexpr double burst = 2.0;
    generation::placement_queue queue{rate, burst};
    core::instant now{std::chrono::seconds{100}};
    queue.add_arrival(core::generation_id{1});
    // The loss of a failure domain: five resumes at once, the last one with the earliest deadline.
    for (std::uint64_t id = 10; id < 15; ++id) {
        queue.add_resume(core::generation_id{id}, now + std::chrono::seconds{20 - id});
    }
    std::vector<std::uint64_t> placed;
    const auto place = [&](core::generation_id id) {
        placed.push_back(id.value());
        return true;
    };
    queue.place(place, now);
    BOOST_TEST((placed == std::vector<std::uint64_t>{14, 13}));
    for (int i = 0; i < 10 && queue.next_deadline().has_value(); ++i) {
        now = *queue.next_deadline();
        queue.place(place, now);
    }
    BOOST_TEST((placed == std::vector<std::uint64_t>{14, 13, 12, 11, 10, 1}));
    BOOST_TEST((now >= core::instant{std::chrono::seconds{100}} + std::chrono::milliseconds{300}));
}

BOOST_AUTO_TEST_CASE(a_failed_placement_uses_no_budget_and_is_retried)
{
    generation::placement_queue queue{1.0, 1.0};
    const core::instant now{std::chrono::seconds{100}};
    queue.add_resume(core::generation_id{1}, now);
    for (int i = 0; i < 3; ++i) {
        queue.place([](core::generation_id) { return false; }, now);
    }
    int placed = 0;
    queue.place([&](core::generation_id) { return ++placed > 0; }, now);
    BOOST_TEST(placed == 1);
    BOOST_TEST(!queue.next_deadline().has_value());
}
