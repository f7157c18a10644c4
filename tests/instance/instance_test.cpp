#include "instance/instance.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

#include "instance/instance_fixture.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t length = 200;

} // namespace

BOOST_AUTO_TEST_CASE(streamed_and_unstreamed_answers_are_complete)
{
    test::instance_fixture fixture{2};
    fixture.send(1, length, true);
    fixture.send(2, length, false);
    test::check_whole(fixture.next_result(), length);
    test::check_whole(fixture.next_result(), length);
}

BOOST_AUTO_TEST_CASE(a_killed_engine_does_not_interrupt_answers)
{
    test::instance_fixture fixture{3};
    constexpr int count = 9;
    for (int i = 0; i < count; ++i) {
        fixture.send(static_cast<std::uint64_t>(i), length, i % 2 == 0);
    }
    // The answers take 400 ms, so the engine is killed while they are in progress.
    std::this_thread::sleep_for(std::chrono::milliseconds{150});
    fixture.fault(0, standin::fault_kind::killed);
    for (int i = 0; i < count; ++i) {
        test::check_whole(fixture.next_result(), length);
    }
}

BOOST_AUTO_TEST_CASE(paused_engines_and_unresponsive_connections_do_not_interrupt_answers)
{
    for (const auto kind : {standin::fault_kind::paused, standin::fault_kind::silent}) {
        test::instance_fixture fixture{2};
        fixture.send(1, length, true);
        fixture.send(2, length, true);
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        fixture.fault(0, kind);
        test::check_whole(fixture.next_result(), length);
        test::check_whole(fixture.next_result(), length);
    }
}

BOOST_AUTO_TEST_CASE(invalid_requests_get_specific_errors)
{
    test::instance_fixture fixture{1};
    const auto check = [&](int status, const char* part) {
        const auto result = fixture.next_result();
        BOOST_TEST(result.status == status);
        BOOST_TEST(result.error.find(part) != std::string::npos, result.error);
    };
    fixture.send(1, length, true, "wrong key");
    check(401, "\"not_run\":true");
    fixture.send(2, length, true, "key", "unknown");
    check(404, "no model unknown");
    fixture.send(3, 0, true);
    check(400, "/max_tokens");
    fixture.send(4, length, true, "key", "notices", std::string(10'000, 'x'));
    check(413, "");
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error_that_names_the_address)
{
    test::instance_fixture fixture{0};
    const auto decoded = settings::decode_instance_settings(
        {{"name", "j"}, {"failure_domain", "regina"}, {"listen", core::to_string(fixture.address)}},
        "test");
    BOOST_REQUIRE(decoded.ok());
    const auto second = instance::instance::start(*decoded, chart::library::embedded());
    BOOST_REQUIRE(!second.ok());
    BOOST_TEST(std::string{second.status().message()}.find(core::to_string(fixture.address)) !=
               std::string::npos);
}
