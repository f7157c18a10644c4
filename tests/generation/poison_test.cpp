#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"
#include "routing/fewest_open_chooser.hpp"

using namespace cyclamen;

namespace {

/// Counts the losses that a listener sees and those that are excused.
class counted_outcomes final : public generation::outcome_listener {
  public:
    void on_first_token(const generation::attempt_subject& /*subject*/, core::duration /*latency*/,
                        core::instant /*now*/) override
    {
    }
    void on_finished(const generation::attempt_subject& /*subject*/, std::uint64_t /*tokens*/,
                     core::duration /*latency*/, core::instant /*now*/) override
    {
    }
    void on_lost(const generation::attempt_subject& /*subject*/,
                 const generation::attempt_loss& loss, core::instant /*now*/) override
    {
        lost_attempts += loss.poison ? 0 : 1;
    }
    void on_loss_excused(const generation::attempt_subject& /*subject*/,
                         core::instant /*now*/) override
    {
        ++excused;
    }
    int lost_attempts = 0;
    int excused = 0;
};

struct fixture {
    core::manual_clock clock;
    routing::fewest_open_chooser chooser;
    test::recorded_output output;
    generation::generation_manager manager{{}, test::generation_chart(), chooser, output};
    counted_outcomes outcomes;
    std::vector<api::quarantine_notice> announced;

    fixture()
    {
        clock.advance(std::chrono::seconds{1000});
        manager.configure(test::make_configuration(8));
        manager.add_listener(outcomes);
        manager.set_quarantine_announcer(
            [this](const api::quarantine_notice& notice) { announced.push_back(notice); });
    }

    void request(std::uint64_t caller, const std::string& prompt)
    {
        manager.on_request(api::generation_request{core::caller_id{caller},
                                                   "key",
                                                   {},
                                                   core::service_name{"notices"},
                                                   prompt,
                                                   10,
                                                   true,
                                                   0,
                                                   std::chrono::seconds{60}},
                           clock.now());
    }

    /// Loses the target of an attempt, 3 s after any other crash, so that it isn't a mass loss.
    void crash(std::size_t attempt)
    {
        clock.advance(std::chrono::seconds{3});
        manager.on_engine_event(api::attempt_lost{output.opened.at(attempt).attempt,
                                                  api::loss_kind::connection_lost, "reset"},
                                clock.now());
        confirm_pending();
    }

    /// Advances the time past the mass loss window, so that pending quarantines take effect.
    void confirm_pending()
    {
        clock.advance(std::chrono::milliseconds{400});
        manager.on_timer(clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(crashes_of_two_targets_quarantine_a_request_and_excuse_the_version, fixture)
{
    request(1, "poison");
    crash(0);
    BOOST_REQUIRE(output.opened.size() == 2U);
    crash(1);
    BOOST_TEST(output.opened.size() == 2U);
    BOOST_REQUIRE(output.failures.size() == 1U);
    BOOST_TEST((output.failures[0].reason.kind == core::error_kind::quarantined));
    BOOST_TEST(outcomes.lost_attempts == outcomes.excused);
    BOOST_TEST(announced.size() == 1U);
    // A repeated request is refused, so that no further target is lost.
    request(2, "poison");
    BOOST_TEST(output.opened.size() == 2U);
    BOOST_TEST((output.failures.back().reason.kind == core::error_kind::quarantined));
    BOOST_TEST(output.failures.back().reason.not_run);
    request(3, "another prompt");
    BOOST_TEST(output.opened.size() == 3U);
}

// Guards against the quarantine of a request that targets have finished between two losses.
BOOST_FIXTURE_TEST_CASE(a_finished_request_is_cleared_of_earlier_losses, fixture)
{
    for (std::uint64_t caller = 1; caller <= 4; ++caller) {
        request(caller, "sound");
        const std::size_t lost = output.opened.size() - 1;
        crash(lost);
        BOOST_REQUIRE(output.opened.size() == lost + 2);
        manager.on_engine_event(api::attempt_finished{output.opened.back().attempt}, clock.now());
    }
    BOOST_TEST(announced.empty());
    BOOST_TEST(output.failures.empty());
}

BOOST_FIXTURE_TEST_CASE(a_quarantine_notice_of_another_instance_is_applied, fixture)
{
    request(1, "poison");
    const auto found = generation::fingerprint_of(core::account_name{"chain"}, "poison");
    manager.on_quarantine_notice(api::quarantine_notice{found.value(), 60'000}, clock.now());
    BOOST_TEST(output.cancelled.size() == 1U);
    BOOST_TEST((output.failures.at(0).reason.kind == core::error_kind::quarantined));
    clock.advance(std::chrono::seconds{61});
    request(2, "poison");
    BOOST_TEST(output.opened.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_suspect_request_is_placed_apart_from_the_poison_request, fixture)
{
    manager.configure(test::make_configuration(1));
    request(1, "poison");
    request(2, "innocent");
    manager.configure(test::make_configuration(8));
    crash(0);
    manager.on_engine_event(
        api::attempt_lost{output.opened.at(1).attempt, api::loss_kind::connection_lost, "reset"},
        clock.now());
    confirm_pending();
    BOOST_REQUIRE(output.opened.size() == 4U);
    BOOST_TEST((output.opened[2].target != output.opened[3].target));
    crash(2);
    BOOST_TEST(output.failures.size() == 1U);
    BOOST_TEST(manager.live_count() == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_loss_of_many_targets_at_once_quarantines_no_request, fixture)
{
    for (std::uint64_t caller = 1; caller <= 4; ++caller) {
        request(caller, "prompt " + std::to_string(caller));
    }
    const std::size_t first_round = output.opened.size();
    for (int round = 0; round < 2; ++round) {
        clock.advance(std::chrono::seconds{3});
        const std::size_t end = output.opened.size();
        for (std::size_t attempt = end - first_round; attempt < end; ++attempt) {
            manager.on_engine_event(api::attempt_lost{output.opened.at(attempt).attempt,
                                                      api::loss_kind::connection_lost, "reset"},
                                    clock.now());
        }
        confirm_pending();
    }
    BOOST_TEST(output.opened.size() == 3 * first_round);
    BOOST_TEST(output.failures.empty());
    BOOST_TEST(announced.empty());
}

BOOST_AUTO_TEST_CASE(an_account_that_varies_its_poison_request_reaches_its_crash_threshold)
{
    generation::poison_detector poison;
    const core::account_name account{"chain"};
    core::instant now{std::chrono::seconds{1000}};
    int crashes = 0;
    for (std::uint64_t request = 1; request <= 10; ++request) {
        const generation::fingerprint request_fingerprint{request};
        for (int target = 0; !poison.is_quarantined(request_fingerprint, now); ++target) {
            now += std::chrono::seconds{3};
            const core::target_name lost_target{"t" + std::to_string(target)};
            poison.on_crash(request_fingerprint, account, lost_target, true, now);
            now += std::chrono::milliseconds{300};
            static_cast<void>(poison.confirm_quarantines(now));
            ++crashes;
        }
    }
    // The first two requests crash two targets each, the other eight one each.
    BOOST_TEST(crashes == 12);
    // Another account is not affected.
    now += std::chrono::seconds{3};
    poison.on_crash(generation::fingerprint{99}, core::account_name{"other"},
                    core::target_name{"t"}, true, now);
    BOOST_TEST(!poison.is_pending(generation::fingerprint{99}));
}
