#include "http/output_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cyclamen;

RC_BOOST_PROP(bytes_leave_a_queue_in_order_and_its_memory_follows_them, ())
{
    constexpr std::size_t block_bytes = 4096;
    const auto parts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 3 * block_bytes));
    http::output_queue queue;
    std::string sent;
    std::string taken;
    char next = 'a';
    for (const std::size_t size : parts) {
        const std::string part(size, next);
        next = next == 'z' ? 'a' : static_cast<char>(next + 1);
        sent += part;
        queue.append(part);
        if (*rc::gen::arbitrary<bool>()) {
            const auto max_bytes = *rc::gen::inRange<std::size_t>(1, 5 * block_bytes);
            std::size_t count = 0;
            const auto blocks = queue.take(max_bytes);
            for (const std::string& each : blocks) {
                count += each.size();
                taken += each;
            }
            RC_ASSERT(count <= max_bytes || blocks.size() == 1U);
        }
        RC_ASSERT(taken.size() + queue.size() == sent.size());
        RC_ASSERT(queue.empty() == (queue.size() == 0));
        RC_ASSERT(queue.memory() >= queue.size());
        // Of the blocks only the first and the last one may have room left.
        RC_ASSERT(queue.memory() <= queue.size() + 2 * block_bytes);
    }
    for (const std::string& each : queue.take(sent.size())) {
        taken += each;
    }
    RC_ASSERT(taken == sent);
    RC_ASSERT(queue.memory() == 0U);
}
