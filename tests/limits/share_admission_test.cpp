#include "limits/share_admission.hpp"

#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"

using namespace cyclamen;

namespace {

const core::service_name service{"notices"};

/// A single instance in front of a service with four slots, in virtual time.
struct fixture {
    core::manual_clock clock;
    limits::share_admission admission{limits::admission_settings{}};
    core::generation_id last_id;

    fixture()
    {
        admission.configure(std::make_shared<const model::configuration>(model::configuration{
            core::revision{1},
            {},
            {},
            {model::client_account{core::account_name{"low"}, "1", {}, 1, 0},
             model::client_account{core::account_name{"high"}, "2", {}, 1, 5}}}));
        admission.on_serving_instances(1);
        admission.on_capacity(service, 4);
    }

    std::optional<core::failure> offer(const std::string& account,
                                       core::duration timeout = std::chrono::seconds{10})
    {
        last_id = last_id.next();
        return admission.offer(
            {last_id, core::account_name{account}, service, 100, clock.now() + timeout},
            clock.now());
    }

    std::vector<core::generation_id> started() { return admission.release(clock.now()).started; }

    /// Completes one request with a given duration, on which later estimates are based.
    void run_one_request(core::duration time)
    {
        BOOST_REQUIRE(!offer("low", std::chrono::seconds{100}).has_value());
        BOOST_REQUIRE(started().size() == 1U);
        clock.advance(time);
        admission.on_ended(last_id, true, clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_request_that_would_miss_its_deadline_is_refused_at_once_as_not_run,
                        fixture)
{
    run_one_request(std::chrono::seconds{5});
    const auto refused = offer("low", std::chrono::seconds{4});
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->kind == core::error_kind::overloaded));
    BOOST_TEST(refused->not_run);
    BOOST_TEST((refused->retry_after >= std::chrono::seconds{1}));
    BOOST_TEST(started().empty());
    BOOST_TEST(!offer("low", std::chrono::seconds{7}).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_request_that_waited_too_long_is_refused_and_never_started, fixture)
{
    run_one_request(std::chrono::seconds{1});
    for (int i = 0; i < 4; ++i) {
        BOOST_REQUIRE(!offer("low", std::chrono::seconds{100}).has_value());
        BOOST_TEST(started().size() == 1U);
        clock.advance(limits::admission_settings{}.share_update_period);
    }
    // All slots are taken, and no request ends.
    BOOST_REQUIRE(!offer("low", std::chrono::seconds{20}).has_value());
    const core::generation_id waiting = last_id;
    clock.advance(std::chrono::milliseconds{19'200});
    const limits::admission_result result = admission.release(clock.now());
    BOOST_TEST(result.started.empty());
    BOOST_REQUIRE(result.refused.size() == 1U);
    BOOST_TEST((result.refused.front().id == waiting));
    BOOST_TEST(result.refused.front().reason.not_run);
    clock.advance(std::chrono::seconds{1});
    BOOST_TEST(started().empty());
}

BOOST_FIXTURE_TEST_CASE(higher_priority_starts_first_within_fair_shares, fixture)
{
    std::vector<core::generation_id> low;
    for (int i = 0; i < 8; ++i) {
        BOOST_REQUIRE(!offer("low").has_value());
        low.push_back(last_id);
        BOOST_REQUIRE(!offer("high").has_value());
    }
    clock.advance(limits::admission_settings{}.share_update_period);
    const auto first = started();
    BOOST_REQUIRE(first.size() == 4U);
    const auto lows = std::ranges::count_if(
        first, [&](auto id) { return std::ranges::find(low, id) != low.end(); });
    BOOST_TEST(lows == 2);
    BOOST_TEST((std::ranges::find(low, first.front()) == low.end()));
}

BOOST_FIXTURE_TEST_CASE(ended_requests_leave_no_state, fixture)
{
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE(!offer("low").has_value());
    }
    static_cast<void>(started());
    for (std::uint64_t id = 1; id <= 20; ++id) {
        admission.on_ended(core::generation_id{id}, false, clock.now());
    }
    BOOST_TEST(admission.demand().empty());
    BOOST_TEST(!admission.next_deadline().has_value());
}
