#include <chrono>

#include <boost/test/unit_test.hpp>

#include "instance/system.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t length = 5;
constexpr int batch = 20;

struct answers {
    int of_old_version = 0;
    int of_new_version = 0;
    int failed = 0;
};

/// Sends requests and waits for their answers.
answers ask(test::system& system, int count)
{
    for (int i = 0; i < count; ++i) {
        system.send(static_cast<std::uint64_t>(i), length, i % 2 == 0);
    }
    answers all;
    for (int i = 0; i < count; ++i) {
        const auto result = system.next_result();
        const auto is_whole = [&](const char* version) {
            return standin::check_answer("a prompt", version, result.text).is_whole(length);
        };
        if (!result.complete) {
            ++all.failed;
        }
        else if (is_whole("v2")) {
            ++all.of_new_version;
        }
        else {
            BOOST_TEST(is_whole("v1"), result.text);
            ++all.of_old_version;
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_version_gets_its_share_and_every_answer_is_of_one_version)
{
    test::system system{2, 1};
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    int of_new_version = 0;
    for (int i = 0; i < 10; ++i) {
        const answers some = ask(system, batch);
        BOOST_TEST(some.failed == 0);
        of_new_version += some.of_new_version;
    }
    BOOST_TEST(of_new_version > 0);
    BOOST_TEST(of_new_version <= 10 * batch / 2);
}

BOOST_AUTO_TEST_CASE(a_failing_version_is_taken_back)
{
    test::system system{2, 1};
    system.fault(2, standin::fault_kind::failing);
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    // Five batches without failure in a row at a share of a sixth: the version gets nothing more.
    int clean_batches = 0;
    while (clean_batches < 5 && std::chrono::steady_clock::now() < give_up) {
        const answers some = ask(system, batch);
        clean_batches = some.failed == 0 && some.of_new_version == 0 ? clean_batches + 1 : 0;
    }
    BOOST_TEST(clean_batches == 5);
}
