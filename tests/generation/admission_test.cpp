#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"
#include "generation/generation_manager.hpp"
#include "routing/fewest_open_chooser.hpp"

using namespace cyclamen;

namespace {

/// Admission policy whose decisions the test sets.
class scripted_admission final : public limits::admission_policy {
  public:
    void configure(model::configuration_ptr /*configuration*/) override {}
    [[nodiscard]] std::optional<core::failure> offer(const limits::admission_request& offered,
                                                     core::instant /*now*/) override
    {
        offers.push_back(offered);
        return refusal;
    }
    [[nodiscard]] limits::admission_result release(core::instant /*now*/) override
    {
        limits::admission_result result{std::move(starting), std::move(refusing)};
        starting.clear();
        refusing.clear();
        return result;
    }
    void on_ended(core::generation_id id, bool complete, core::instant /*now*/) override
    {
        ended.emplace_back(id, complete);
    }
    [[nodiscard]] std::optional<core::instant> next_deadline() const override
    {
        return std::nullopt;
    }

    std::vector<limits::admission_request> offers;
    std::optional<core::failure> refusal;
    std::vector<core::generation_id> starting;
    std::vector<limits::late_refusal> refusing;
    std::vector<std::pair<core::generation_id, bool>> ended;
};

const core::failure full{core::error_kind::overloaded, "full; wait", true, std::chrono::seconds{7}};

struct fixture {
    core::manual_clock clock;
    routing::fewest_open_chooser chooser;
    test::recorded_output output;
    scripted_admission admission;
    generation::generation_manager manager{{}, test::generation_chart(), chooser, output};

    fixture()
    {
        manager.use_admission(admission);
        manager.configure(test::make_configuration());
    }

    void request(const std::string& key = {})
    {
        manager.on_request(test::make_request(1, 10, key), clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_refusal_by_admission_reaches_the_caller_unchanged_and_keeps_no_state,
                        fixture)
{
    admission.refusal.emplace(full);
    request("k");
    BOOST_REQUIRE(output.failures.size() == 1U);
    BOOST_TEST((output.failures[0].reason == full));
    BOOST_TEST(manager.live_count() == 0U);
    admission.refusal.reset();
    request("k");
    BOOST_TEST(admission.offers.size() == 2U);
    BOOST_TEST((admission.offers[1].deadline == clock.now() + std::chrono::seconds{60}));
}

BOOST_FIXTURE_TEST_CASE(a_generation_waits_until_it_is_admitted, fixture)
{
    request();
    manager.on_timer(clock.now());
    BOOST_TEST(output.opened.empty());
    admission.starting.push_back(admission.offers[0].id);
    manager.on_timer(clock.now());
    BOOST_REQUIRE(output.opened.size() == 1U);
    // A resumed generation isn't offered to admission again.
    manager.on_engine_event(
        api::attempt_lost{output.opened[0].attempt, api::loss_kind::connection_lost, "reset"},
        clock.now());
    BOOST_TEST(output.opened.size() == 2U);
    BOOST_TEST(admission.offers.size() == 1U);
    BOOST_TEST(admission.ended.empty());
    manager.on_caller_gone(core::caller_id{1}, clock.now());
    BOOST_REQUIRE(admission.ended.size() == 1U);
    BOOST_TEST(!admission.ended[0].second);
}

BOOST_FIXTURE_TEST_CASE(a_late_refusal_reaches_the_caller_unchanged_and_opens_no_attempt, fixture)
{
    request();
    admission.refusing.push_back({admission.offers[0].id, full});
    manager.on_timer(clock.now());
    BOOST_REQUIRE(output.failures.size() == 1U);
    BOOST_TEST((output.failures[0].reason == full));
    BOOST_TEST(output.opened.empty());
    BOOST_TEST(manager.live_count() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_repeated_request_is_not_offered_to_admission_again, fixture)
{
    request("k");
    manager.on_request(test::make_request(2, 10, "k"), clock.now());
    BOOST_TEST(admission.offers.size() == 1U);
}
