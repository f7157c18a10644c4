#include <boost/test/unit_test.hpp>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"
#include "routing/fewest_open_chooser.hpp"

using namespace cyclamen;

namespace {

/// Records each event as a short text.
class recorded_outcomes final : public generation::outcome_listener {
  public:
    void on_first_token(const generation::attempt_subject& subject, core::duration latency,
                        core::instant /*now*/) override
    {
        events.push_back("first " + subject.target.str() + " " + subject.route);
        latencies.push_back(latency);
    }
    void on_finished(const generation::attempt_subject& /*subject*/, std::uint64_t tokens,
                     core::duration /*latency*/, core::instant /*now*/) override
    {
        events.push_back("finished " + std::to_string(tokens));
    }
    void on_lost(const generation::attempt_subject& subject, const generation::attempt_loss& loss,
                 core::instant /*now*/) override
    {
        events.push_back(loss.poison ? "poison" : "lost " + subject.target.str());
    }
    void on_loss_excused(const generation::attempt_subject& subject, core::instant /*now*/) override
    {
        events.push_back("excused " + subject.target.str());
    }

    std::vector<std::string> events;
    std::vector<core::duration> latencies;
};

/// Chooses the same version for all generations.
class fixed_version final : public generation::version_chooser {
  public:
    core::version_name choose_version(const generation::new_generation& work,
                                      core::instant /*now*/) override
    {
        requested = work.account.name.str() + " " + work.route;
        return core::version_name{"v2"};
    }
    std::string requested;
};

struct fixture {
    core::manual_clock clock;
    routing::fewest_open_chooser chooser;
    test::recorded_output output;
    generation::generation_manager manager{{}, test::generation_chart(), chooser, output};
    recorded_outcomes outcomes;

    fixture()
    {
        manager.configure(test::make_configuration());
        manager.add_listener(outcomes);
    }
    void tokens(std::size_t attempt, std::uint64_t first)
    {
        manager.on_engine_event(
            api::attempt_tokens{output.opened.at(attempt).attempt, first, {" a", " b"}},
            clock.now());
    }
};

using text_list = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_CASE(listeners_receive_first_token_loss_and_end_of_each_attempt, fixture)
{
    manager.on_request(test::make_request(1, 6), clock.now());
    clock.advance(std::chrono::milliseconds{30});
    tokens(0, 0);
    manager.on_engine_event(
        api::attempt_lost{output.opened.at(0).attempt, api::loss_kind::connection_lost, "reset"},
        clock.now());
    tokens(1, 2);
    tokens(1, 4);
    manager.on_engine_event(api::attempt_finished{output.opened.at(1).attempt}, clock.now());
    const std::string first = output.opened.at(0).target.str();
    const std::string second = output.opened.at(1).target.str();
    BOOST_TEST((outcomes.events == text_list{"first " + first + " notices/stream", "lost " + first,
                                             "first " + second + " notices/stream", "finished 4"}));
    BOOST_TEST((outcomes.latencies.at(0) == std::chrono::milliseconds{30}));
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_attempt_is_not_reported, fixture)
{
    manager.on_request(test::make_request(1, 6), clock.now());
    manager.on_caller_gone(core::caller_id{1}, clock.now());
    BOOST_TEST(outcomes.events.empty());
}

BOOST_FIXTURE_TEST_CASE(the_version_chooser_sets_the_version_of_new_generations, fixture)
{
    fixed_version versions;
    manager.use_version_chooser(versions);
    manager.on_request(test::make_request(1, 6), clock.now());
    BOOST_TEST(versions.requested == "chain notices/stream");
    // No target runs that version, and no attempt is opened at another one.
    BOOST_TEST(output.opened.empty());
}
