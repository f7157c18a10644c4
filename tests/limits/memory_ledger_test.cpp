#include "limits/memory_ledger.hpp"

#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cyclamen;

namespace {

class recording_holder final : public limits::memory_holder {
  public:
    void give_up(const limits::held_memory& /*held*/) override { gave_up = true; }

    bool gave_up = false;
};

constexpr limits::memory_limits small_limits{
    .max_input_bytes = 1000, .max_output_bytes = 2000, .max_unread_bytes = 100};

core::instant at(int milliseconds)
{
    return core::instant{} + std::chrono::hours{1} + std::chrono::milliseconds{milliseconds};
}

} // namespace

BOOST_AUTO_TEST_CASE(the_holder_of_most_bytes_for_longest_gives_up)
{
    limits::memory_ledger ledger{small_limits};
    recording_holder stalled;
    recording_holder reading;
    recording_holder recent;
    const auto first = ledger.open(stalled);
    const auto second = ledger.open(reading);
    const auto third = ledger.open(recent);
    ledger.set(first, {.output = 900}, at(0));
    ledger.set(second, {.output = 1000}, at(0));
    ledger.set(second, {.output = 950}, at(990));
    ledger.set(third, {.output = 1500}, at(1000));
    ledger.enforce(at(1000));
    BOOST_TEST(stalled.gave_up);
    BOOST_TEST(reading.gave_up);
    BOOST_TEST(!recent.gave_up);
    BOOST_TEST(ledger.output_bytes() == 1500U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_its_caller_reads_goes_on)
{
    limits::memory_ledger ledger{small_limits};
    recording_holder stream;
    recording_holder other;
    const auto first = ledger.open(stream);
    const auto second = ledger.open(other);
    ledger.set(first, {.output = 1000, .is_stream = true}, at(0));
    ledger.set(first, {.output = 900, .is_stream = true}, at(1000));
    ledger.set(second, {.output = 1200}, at(3000));
    ledger.enforce(at(3000));
    BOOST_TEST(!stream.gave_up);
    BOOST_TEST(other.gave_up);
}

BOOST_AUTO_TEST_CASE(a_holder_is_not_read_while_its_caller_has_much_to_read)
{
    limits::memory_ledger ledger{small_limits};
    recording_holder holder;
    const auto id = ledger.open(holder);
    ledger.set(id, {.input = 900, .output = 100}, at(0));
    BOOST_TEST(ledger.may_read(id));
    ledger.set(id, {.input = 900, .output = 101}, at(0));
    BOOST_TEST(!ledger.may_read(id));
    ledger.set(id, {.input = 900, .output = 20}, at(1));
    BOOST_TEST(ledger.may_read(id));
}

BOOST_AUTO_TEST_CASE(the_room_of_buffers_counts_but_does_not_keep_a_holder_from_being_read)
{
    limits::memory_ledger ledger{small_limits};
    recording_holder holder;
    recording_holder other;
    const auto id = ledger.open(holder);
    const auto other_id = ledger.open(other);
    ledger.set(id, {.output = 100, .output_slack = 1500}, at(0));
    BOOST_TEST(ledger.may_read(id));
    BOOST_TEST(ledger.output_bytes() == 1600U);
    ledger.set(other_id, {.output = 500}, at(1));
    ledger.enforce(at(1));
    BOOST_TEST(holder.gave_up);
    BOOST_TEST(!other.gave_up);
    BOOST_TEST(ledger.output_bytes() == 500U);
}

RC_BOOST_PROP(sums_stay_within_the_limits_and_an_ordinary_caller_gets_in, ())
{
    limits::memory_ledger ledger{small_limits};
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<recording_holder> holders(count);
    std::vector<limits::holder_id> ids;
    for (recording_holder& each : holders) {
        ids.push_back(ledger.open(each));
    }
    int time = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        time += *rc::gen::inRange(0, 2000);
        const auto index = *rc::gen::inRange<std::size_t>(0, count);
        if (step < 10) {
            ledger.close(ids[index]);
        }
        else {
            ledger.set(ids[index],
                       {.input = *rc::gen::inRange<std::size_t>(0, 1500),
                        .output = *rc::gen::inRange<std::size_t>(0, 2500),
                        .output_slack = *rc::gen::inRange<std::size_t>(0, 500),
                        .is_stream = *rc::gen::arbitrary<bool>()},
                       at(time));
        }
        ledger.enforce(at(time));
        RC_ASSERT(ledger.input_bytes() <= small_limits.max_input_bytes);
        RC_ASSERT(ledger.output_bytes() <= small_limits.max_output_bytes);
    }
    // An ordinary caller holds less than its share, for no time.
    recording_holder ordinary;
    const auto id = ledger.open(ordinary);
    time += 1;
    ledger.set(id, {.input = small_limits.max_input_bytes / (count + 1)}, at(time));
    ledger.enforce(at(time));
    RC_ASSERT(!ordinary.gave_up);
    ledger.set(id, {.output = small_limits.max_output_bytes / (count + 1)}, at(time));
    ledger.enforce(at(time));
    RC_ASSERT(!ordinary.gave_up);
    RC_ASSERT(ledger.may_read(id) ||
              small_limits.max_output_bytes / (count + 1) > small_limits.max_unread_bytes);
    for (const limits::holder_id each : ids) {
        ledger.close(each);
    }
    ledger.close(id);
    RC_ASSERT(ledger.input_bytes() + ledger.output_bytes() == 0U);
}
