#include <chrono>

#include <boost/test/unit_test.hpp>

#include "instance/instance_fixture.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t length = 5;
constexpr int batch_size = 20;

/// Counts of the answers to a batch of requests.
struct answer_counts {
    int of_old_version = 0;
    int of_new_version = 0;
    int failed = 0;
};

/// Sends requests, waits for their answers and checks that each answer is of a single version.
answer_counts send_requests(test::instance_fixture& fixture, int count)
{
    for (int i = 0; i < count; ++i) {
        fixture.send(static_cast<std::uint64_t>(i), length, i % 2 == 0);
    }
    answer_counts counts;
    for (int i = 0; i < count; ++i) {
        const auto result = fixture.next_result();
        const auto is_whole = [&](const char* version) {
            return standin::check_answer("a prompt", version, result.text).is_complete(length);
        };
        if (!result.complete) {
            ++counts.failed;
        }
        else if (is_whole("v2")) {
            ++counts.of_new_version;
        }
        else {
            BOOST_TEST(is_whole("v1"), result.text);
            ++counts.of_old_version;
        }
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_version_gets_its_share_and_every_answer_is_of_one_version)
{
    test::instance_fixture fixture{2, 1};
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    int of_new_version = 0;
    for (int i = 0; i < 10; ++i) {
        const answer_counts counts = send_requests(fixture, batch_size);
        BOOST_TEST(counts.failed == 0);
        of_new_version += counts.of_new_version;
    }
    BOOST_TEST(of_new_version > 0);
    BOOST_TEST(of_new_version <= 10 * batch_size / 2);
}

BOOST_AUTO_TEST_CASE(a_failing_version_is_rolled_back)
{
    test::instance_fixture fixture{2, 1};
    fixture.fault(2, standin::fault_kind::failing);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    // With a share of a sixth, five consecutive batches without a failure and without an answer of
    // the new version show that the version gets no more requests.
    int clean_batches = 0;
    while (clean_batches < 5 && std::chrono::steady_clock::now() < end) {
        const answer_counts counts = send_requests(fixture, batch_size);
        clean_batches = counts.failed == 0 && counts.of_new_version == 0 ? clean_batches + 1 : 0;
    }
    BOOST_TEST(clean_batches == 5);
}
