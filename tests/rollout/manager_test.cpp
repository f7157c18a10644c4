#include "rollout/rollout_manager.hpp"

#include <boost/test/unit_test.hpp>

#include "rollout/fixtures.hpp"

using namespace cyclamen;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

model::configuration_ptr make_configuration(const model::rollout& declared)
{
    const auto target = [](const char* name, const char* version) {
        return model::target{core::target_name{name},
                             core::service_name{"notices"},
                             core::version_name{version},
                             {"127.0.0.1", 1},
                             core::failure_domain_name{"regina"},
                             {},
                             true};
    };
    return std::make_shared<const model::configuration>(
        model::configuration{core::revision{1},
                             {{core::service_name{"notices"}, model::service_kind::generation,
                               core::version_name{"v1"}}},
                             {target("o", "v1"), target("n", "v2")},
                             {},
                             {declared}});
}

class fake_output final : public rollout::rollout_output {
  public:
    void publish(const api::rollout_gossip& gossip) override { sent.push_back(gossip); }
    void order_loads(const model::rollout&) override { ++load_orders; }
    void on_state(const rollout::rollout_report& report) override
    {
        states.push_back(report.state);
    }

    std::vector<api::rollout_gossip> sent;
    std::vector<std::string> states;
    int load_orders = 0;
};

/// One instance whose number of responsive peers is set by the test.
struct instance {
    explicit instance(const std::string& name, const model::rollout& declared,
                      std::unique_ptr<rollout::share_policy> policy =
                          std::make_unique<rollout::evidence_policy>(rollout::schedule_settings{},
                                                                     rollout::judgement_settings{}))
        : manager{{core::instance_name{name}, core::incarnation{1}},
                  *chart::library::embedded().load("rollout", rollout::rollout_vocabulary()),
                  std::move(policy),
                  output}
    {
        manager.configure(make_configuration(declared), now);
    }

    void advance(core::duration time)
    {
        for (core::duration passed{}; passed < time; passed += seconds{1}) {
            now += seconds{1};
            manager.review({responsive_peers, 12, not_ready}, now);
        }
    }

    /// Serves requests; all that go to the new version have the given end.
    void serve(int count, rollout::attempt_end end_on_new)
    {
        for (int i = 0; i < count; ++i) {
            const std::uint64_t request = ++requests * 0x9E3779B97F4A7C15ULL;
            const auto routed = manager.route(core::service_name{"notices"}, {}, request, now);
            BOOST_REQUIRE(routed.has_value());
            const bool is_new = routed->choice.arm == api::rollout_arm::to;
            const rollout::placed_attempt attempt{routed->rollout,
                                                  routed->choice,
                                                  {api::route_name{"stream"}, {}},
                                                  core::target_name{is_new ? "n" : "o"},
                                                  now};
            manager.on_opened(attempt);
            manager.on_first_token(attempt, std::chrono::milliseconds{200});
            manager.on_end(attempt, is_new ? end_on_new : rollout::attempt_end::finished, now);
            new_version_requests += is_new ? 1 : 0;
        }
    }

    void serve_for(core::duration time, rollout::attempt_end end_on_new)
    {
        for (core::duration passed{}; passed < time; passed += seconds{1}) {
            serve(40, end_on_new);
            advance(seconds{1});
        }
    }

    [[nodiscard]] std::string state() const { return manager.reports().front().state; }

    fake_output output;
    core::wall_time now = test::window_start;
    std::size_t responsive_peers = 12;
    std::set<core::target_name> not_ready;
    std::uint64_t requests = 0;
    int new_version_requests = 0;
    rollout::rollout_manager manager;
};

} // namespace

BOOST_AUTO_TEST_CASE(good_version_moves_by_the_deadline_and_is_watched)
{
    instance subject{"i1", test::make_rollout(minutes{30})};
    subject.not_ready = {core::target_name{"n"}};
    subject.serve_for(seconds{5}, rollout::attempt_end::finished);
    BOOST_TEST(subject.state() == "loading");
    BOOST_TEST(subject.new_version_requests == 0);
    subject.not_ready.clear();
    subject.serve_for(minutes{30}, rollout::attempt_end::finished);
    BOOST_TEST(subject.state() == "watching");
    subject.serve_for(minutes{10}, rollout::attempt_end::finished);
    BOOST_TEST(subject.state() == "done");
    const std::vector<std::string> expected_states{"loading", "exposing", "moving", "watching",
                                                   "done"};
    BOOST_TEST(subject.output.states == expected_states, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(bad_version_is_taken_back_until_the_rollout_is_started_anew)
{
    instance subject{"i1", test::make_rollout(minutes{30})};
    subject.serve_for(seconds{60}, rollout::attempt_end::failed);
    BOOST_TEST(subject.state() == "taken_back");
    const int before = subject.new_version_requests;
    subject.manager.configure(make_configuration(test::make_rollout(minutes{90})), subject.now);
    subject.serve_for(seconds{60}, rollout::attempt_end::finished);
    BOOST_TEST(subject.new_version_requests == before);
    subject.manager.configure(make_configuration(test::make_rollout(minutes{90}, 2)), subject.now);
    subject.serve_for(seconds{60}, rollout::attempt_end::finished);
    BOOST_TEST(subject.new_version_requests > before);
}

BOOST_AUTO_TEST_CASE(veto_of_a_peer_takes_effect_at_once_and_is_forwarded_once)
{
    const auto declared = test::make_rollout(minutes{30});
    instance subject{"i1", declared};
    subject.serve_for(seconds{5}, rollout::attempt_end::finished);
    const api::veto veto{declared.key(), api::veto_reason::failures, "seen elsewhere",
                         core::instance_name{"i2"}, subject.now};
    subject.output.sent.clear();
    subject.manager.on_gossip({{}, {}, {veto}}, subject.now);
    BOOST_REQUIRE(subject.output.sent.size() == 1U);
    BOOST_CHECK(subject.output.sent.front().vetoes.front() == veto);
    subject.manager.on_gossip({{}, {}, {veto}}, subject.now);
    BOOST_TEST(subject.output.sent.size() == 1U);
    const int before = subject.new_version_requests;
    subject.serve_for(seconds{60}, rollout::attempt_end::finished);
    BOOST_TEST(subject.new_version_requests == before);
    BOOST_TEST(subject.manager.reports().front().reason.find("seen elsewhere") !=
               std::string::npos);
    // An instance that starts later receives the veto from its peers.
    instance late_instance{"i3", declared};
    late_instance.manager.on_gossip(subject.manager.full_state(subject.now), late_instance.now);
    BOOST_TEST(late_instance.state() == "taking_back");
}

BOOST_AUTO_TEST_CASE(share_does_not_grow_with_too_few_responsive_peers)
{
    instance subject{"i1", test::make_rollout(minutes{30})};
    subject.serve_for(minutes{20}, rollout::attempt_end::finished);
    subject.responsive_peers = 3;
    const double before = subject.manager.reports().front().share;
    subject.serve_for(minutes{15}, rollout::attempt_end::finished);
    BOOST_TEST(subject.manager.reports().front().share <= before);
    BOOST_TEST(subject.state() == "late");
    subject.responsive_peers = 11;
    subject.serve_for(minutes{5}, rollout::attempt_end::finished);
    BOOST_TEST(subject.state() == "watching");
}

BOOST_AUTO_TEST_CASE(unproven_version_keeps_a_small_share_past_the_deadline)
{
    instance subject{"i1", test::make_rollout(minutes{30})};
    subject.advance(minutes{31});
    BOOST_TEST(subject.state() == "late");
    BOOST_TEST(subject.manager.reports().front().share <= 0.05);
}

BOOST_AUTO_TEST_CASE(impossible_deadline_is_refused_with_the_earliest_possible_one)
{
    const auto configuration = make_configuration(test::make_rollout(minutes{3}));
    const auto check = [&](const model::configuration* previous) {
        return rollout::check_deadlines({}, {}, *configuration, previous, test::window_start);
    };
    const auto refused = check(nullptr);
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST(std::string{refused.message()}.find("the earliest is 1970-02-11T16:13:00Z") !=
                   std::string::npos,
               std::string{refused.message()});
    BOOST_TEST(check(configuration.get()).ok());
}
