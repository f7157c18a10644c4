#include "routing/prefix_index.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/clock.hpp"
#include "model/prefix_blocks.hpp"

using namespace cyclamen;

namespace {

constexpr routing::target_number first{1};
constexpr routing::target_number second{2};

std::vector<std::uint64_t> blocks(std::size_t count)
{
    return model::prefix_blocks(std::string(count * model::prefix_block_bytes, 'a'));
}

} // namespace

RC_BOOST_PROP(block_hashes_match_exactly_up_to_the_first_difference, ())
{
    const auto length = *rc::gen::inRange<std::size_t>(1, 2000);
    const auto differs_at = *rc::gen::inRange<std::size_t>(0, length);
    const std::string one(length, 'a');
    std::string other = one;
    other[differs_at] = 'b';
    const auto left = model::prefix_blocks(one);
    const auto right = model::prefix_blocks(other);
    RC_ASSERT(left.size() == right.size());
    for (std::size_t i = 0; i < left.size(); ++i) {
        const bool is_before = (i + 1) * model::prefix_block_bytes <= differs_at;
        RC_ASSERT((left[i] == right[i]) == is_before);
    }
}

BOOST_AUTO_TEST_CASE(holders_are_sorted_by_prefix_length)
{
    core::manual_clock clock;
    routing::prefix_index index;
    index.on_held(first, blocks(2), clock.now());
    index.on_held(second, blocks(5), clock.now());
    const auto holders = index.holders(blocks(8), clock.now());
    BOOST_REQUIRE(holders.size() == 2U);
    BOOST_TEST((holders[0] == routing::prefix_holder{second, 5.0}));
    BOOST_TEST((holders[1] == routing::prefix_holder{first, 2.0}));
}

BOOST_AUTO_TEST_CASE(a_delayed_drop_keeps_newer_entries)
{
    core::manual_clock clock;
    routing::prefix_index index;
    index.on_held(first, blocks(2), clock.now());
    const core::instant dropped_at = clock.now() + std::chrono::seconds{1};
    clock.advance(std::chrono::seconds{2});
    index.on_held(first, blocks(2), clock.now());
    index.on_dropped(first, blocks(2), dropped_at);
    BOOST_TEST(index.holders(blocks(2), clock.now()).size() == 1U);
    index.on_dropped(first, blocks(2), clock.now());
    BOOST_TEST(index.holders(blocks(2), clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(a_gap_halves_older_entries_and_a_crash_invalidates_them)
{
    core::manual_clock clock;
    routing::prefix_index index;
    index.on_held(first, blocks(4), clock.now());
    clock.advance(std::chrono::seconds{1});
    index.on_gap(first, clock.now());
    BOOST_TEST(index.holders(blocks(4), clock.now()).at(0).blocks == 2.0);
    index.forget(first, clock.now());
    BOOST_TEST(index.holders(blocks(4), clock.now()).empty());
    clock.advance(std::chrono::seconds{1});
    index.on_held(first, blocks(4), clock.now());
    BOOST_TEST(index.holders(blocks(4), clock.now()).at(0).blocks == 4.0);
}

BOOST_AUTO_TEST_CASE(size_is_bounded_and_the_least_recently_used_block_is_evicted)
{
    core::manual_clock clock;
    routing::prefix_index index{100};
    const auto kept = blocks(1);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        index.on_held(first, kept, clock.now());
        const std::vector<std::uint64_t> other{i};
        index.on_held(second, other, clock.now());
        BOOST_REQUIRE(index.size() <= 100U);
    }
    BOOST_TEST(index.holders(kept, clock.now()).size() == 1U);
}
