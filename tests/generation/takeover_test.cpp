#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "generation/simulated_cluster.hpp"

using namespace cyclamen;

namespace {

constexpr core::duration step = std::chrono::milliseconds{3};

/// Number of steps after which the generation of an unresponsive owner has been taken over.
constexpr int takeover_rounds = 350;

/// Runs the cluster without further faults until all callers have their answers.
/// @return false if some caller has no answer after 3000 rounds
bool run_to_completion(test::simulated_cluster& cluster)
{
    for (const auto& each : cluster.instances) {
        each->paused = false;
    }
    std::size_t next_instance = 0;
    for (int round = 0; round < 3000; ++round) {
        bool all_complete = true;
        for (test::simulated_caller* caller : cluster.callers) {
            all_complete = all_complete && caller->complete;
            if (caller->complete || caller->is_waiting) {
                continue;
            }
            const bool position_unknown =
                !caller->failures.empty() &&
                caller->failures.back().reason.kind == core::error_kind::not_found;
            if (position_unknown) {
                // No instance can resume the answer: start again without any tokens.
                caller->tokens.clear();
                caller->branch.clear();
                caller->failures.clear();
                ++caller->restarts;
            }
            cluster.connect(*caller, next_instance++ % cluster.instances.size());
        }
        if (all_complete) {
            return true;
        }
        for (std::size_t message = cluster.bus.size(); message > 0; --message) {
            cluster.deliver(0);
        }
        for (std::size_t at = 0; at < cluster.instances.size(); ++at) {
            cluster.produce(at, 2);
        }
        cluster.advance(step);
    }
    return false;
}

/// Applies one random step: a message, a token, a fault or a reconnection.
void apply_random_step(test::simulated_cluster& cluster, int kind, int choice, bool& has_killed)
{
    const auto instance_count = cluster.instances.size();
    const auto pick = static_cast<std::size_t>(choice);
    test::simulated_instance& instance = *cluster.instances[pick % instance_count];
    switch (kind) {
    case 0:
    case 1:
    case 2:
        if (!cluster.bus.empty() && !cluster.is_paused(cluster.bus[pick % cluster.bus.size()].to)) {
            cluster.deliver(pick % cluster.bus.size());
        }
        break;
    case 3:
        if (!cluster.bus.empty()) {
            cluster.drop(pick % cluster.bus.size());
        }
        break;
    case 4:
    case 5:
        cluster.produce(pick % instance_count, 1 + pick % 3);
        break;
    case 6:
    case 7:
        cluster.advance(pick % 5 == 0 ? std::chrono::milliseconds{160} : step);
        break;
    case 8:
        instance.paused = !instance.paused;
        break;
    case 9:
        if (!has_killed) {
            cluster.kill(pick % instance_count);
            has_killed = true;
        }
        break;
    default:
        test::simulated_caller& caller = *cluster.callers[pick % cluster.callers.size()];
        if (!caller.complete) {
            cluster.disconnect(caller);
            cluster.connect(caller, (pick / 2) % instance_count);
        }
        break;
    }
}

void deliver_all(test::simulated_cluster& cluster, int rounds = 30)
{
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t message = cluster.bus.size(); message > 0; --message) {
            cluster.deliver(0);
        }
        cluster.advance(step);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(no_token_is_missing_repeated_or_mixed_in_any_order_of_events)
{
    const bool holds = rc::check("takeover", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 11), rc::gen::inRange(0, 30)));
        test::simulated_cluster cluster{3};
        test::simulated_caller streaming;
        test::simulated_caller other;
        other.streaming = *rc::gen::arbitrary<bool>();
        cluster.callers = {&streaming, &other};
        cluster.connect(streaming, 0);
        cluster.connect(other, 1);
        bool has_killed = false;
        for (const auto& [kind, choice] : steps) {
            apply_random_step(cluster, kind, choice, has_killed);
        }
        RC_ASSERT(run_to_completion(cluster));
        RC_ASSERT(test::has_whole_answer(streaming));
        RC_ASSERT(test::has_whole_answer(other));
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_at_another_instance_when_its_owner_is_lost)
{
    test::simulated_cluster cluster{3};
    test::simulated_caller caller;
    cluster.callers = {&caller};
    cluster.connect(caller, 0);
    deliver_all(cluster);
    cluster.produce(0, 5);
    deliver_all(cluster);
    BOOST_REQUIRE(caller.tokens.size() == 5U);
    cluster.kill(0);
    cluster.connect(caller, 1);
    deliver_all(cluster, takeover_rounds);
    BOOST_REQUIRE(cluster.instances[1]->opened.size() == 1U);
    // The new attempt starts after the tokens already received: none is computed twice.
    BOOST_TEST(cluster.instances[1]->opened[0].first == 5U);
    cluster.produce(1, 8);
    deliver_all(cluster);
    BOOST_TEST(test::has_whole_answer(caller));
    BOOST_TEST(caller.failures.empty());
}

BOOST_AUTO_TEST_CASE(a_caller_receives_only_tokens_that_the_holder_has)
{
    test::simulated_cluster cluster{3};
    test::simulated_caller caller;
    cluster.callers = {&caller};
    cluster.connect(caller, 0);
    deliver_all(cluster);
    cluster.produce(0, 4);
    BOOST_TEST(caller.tokens.empty());
    deliver_all(cluster, 3);
    BOOST_TEST(caller.tokens.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_paused_owner_is_superseded_and_cancels_its_attempt)
{
    test::simulated_cluster cluster{3};
    test::simulated_caller caller;
    cluster.callers = {&caller};
    cluster.connect(caller, 0);
    deliver_all(cluster);
    cluster.produce(0, 3);
    deliver_all(cluster);
    BOOST_TEST(caller.tokens.size() == 3U);
    cluster.instances[0]->paused = true;
    cluster.connect(caller, 1);
    for (int i = 0; i < takeover_rounds; ++i) {
        for (std::size_t at = 0; at < cluster.bus.size();) {
            // Messages to the paused instance stay in flight.
            if (cluster.is_paused(cluster.bus[at].to)) {
                ++at;
            }
            else {
                cluster.deliver(at);
            }
        }
        cluster.advance(step);
    }
    cluster.produce(1, 2);
    cluster.instances[0]->paused = false;
    cluster.produce(0, 2);
    deliver_all(cluster);
    BOOST_TEST(cluster.instances[0]->cancelled.size() == 1U);
    cluster.produce(1, 8);
    deliver_all(cluster);
    BOOST_TEST(test::has_whole_answer(caller));
}

BOOST_AUTO_TEST_CASE(callers_at_two_instances_share_one_answer)
{
    test::simulated_cluster cluster{3};
    test::simulated_caller first;
    test::simulated_caller second;
    cluster.callers = {&first, &second};
    cluster.connect(first, 0);
    deliver_all(cluster);
    cluster.produce(0, 3);
    deliver_all(cluster);
    cluster.connect(second, 1);
    deliver_all(cluster);
    BOOST_TEST(second.tokens.size() == 3U);
    cluster.produce(0, 8);
    deliver_all(cluster, 100);
    BOOST_TEST(test::has_whole_answer(first));
    BOOST_TEST(test::has_whole_answer(second));
    BOOST_TEST((first.tokens == second.tokens));
    BOOST_TEST(cluster.instances[1]->opened.empty());
}

BOOST_AUTO_TEST_CASE(a_generation_without_holders_continues_and_is_counted)
{
    test::simulated_cluster cluster{3};
    test::simulated_caller caller;
    cluster.callers = {&caller};
    cluster.instances[1]->dead = true;
    cluster.instances[2]->dead = true;
    cluster.connect(caller, 0);
    for (int i = 0; i < 200; ++i) {
        cluster.advance(step);
    }
    cluster.produce(0, 8);
    cluster.advance(step);
    BOOST_TEST(test::has_whole_answer(caller));
    BOOST_TEST(cluster.instances[0]->checkpoints.unprotected_count() == 1U);
}

BOOST_AUTO_TEST_CASE(a_position_that_no_instance_holds_is_an_error)
{
    test::simulated_cluster cluster{2};
    test::simulated_caller caller;
    cluster.callers = {&caller};
    caller.tokens = {" x", " y"};
    caller.branch = "gone-1";
    cluster.connect(caller, 0);
    deliver_all(cluster, takeover_rounds);
    BOOST_REQUIRE(caller.failures.size() == 1U);
    BOOST_TEST((caller.failures[0].reason.kind == core::error_kind::not_found));
    BOOST_TEST(caller.failures[0].reason.not_run);
    BOOST_TEST(cluster.instances[0]->opened.empty());
}

BOOST_AUTO_TEST_CASE(any_instance_can_repeat_a_finished_answer)
{
    test::simulated_cluster cluster{3};
    test::simulated_caller caller;
    test::simulated_caller again;
    again.streaming = false;
    cluster.callers = {&caller, &again};
    cluster.connect(caller, 0);
    deliver_all(cluster);
    cluster.produce(0, 8);
    deliver_all(cluster);
    BOOST_TEST(test::has_whole_answer(caller));
    cluster.instances[0]->dead = true;
    cluster.connect(again, 2);
    deliver_all(cluster, takeover_rounds);
    BOOST_TEST(test::has_whole_answer(again));
    BOOST_TEST((again.tokens == caller.tokens));
    BOOST_TEST(cluster.instances[2]->opened.empty());
}
