#include "call/call_manager.hpp"

#include <boost/test/unit_test.hpp>

#include "call/call_simulation.hpp"

using namespace cyclamen;
using test::call_simulation;
using test::service_behaviour;
using test::store_behaviour;
using namespace std::chrono_literals;

namespace {

/// @return a function that yields the given behaviours in order, then always `answers`
template <class Behaviour>
std::function<Behaviour()> behaviours(std::vector<Behaviour> sequence)
{
    return [sequence = std::move(sequence), next = std::size_t{0}]() mutable {
        return next < sequence.size() ? sequence[next++] : Behaviour::answers;
    };
}

void check_refused(const call_simulation& simulation, std::uint64_t caller, core::error_kind kind)
{
    const auto& failure = simulation.results.at(caller).failure;
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST((failure->kind == kind), failure->message);
    BOOST_TEST(failure->not_run == (kind != core::error_kind::outcome_unknown));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_retry_at_another_instance_gets_the_recorded_answer)
{
    call_simulation simulation{2};
    const auto first = simulation.send(0, "k");
    simulation.run(1s);
    const auto again = simulation.send(1, "k");
    const auto same_instance = simulation.send(0, "k");
    simulation.run(1s);
    BOOST_TEST(simulation.results.at(first).body == "filed k as number 1");
    BOOST_TEST(simulation.results.at(again).body == "filed k as number 1");
    BOOST_TEST(simulation.results.at(same_instance).body == "filed k as number 1");
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(concurrent_sends_run_once_and_both_get_the_answer)
{
    call_simulation simulation{2};
    const auto first = simulation.send(0, "k");
    const auto second = simulation.send(1, "k");
    simulation.run(3s);
    BOOST_TEST(simulation.results.at(first).answered);
    BOOST_TEST(simulation.results.at(second).answered);
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(a_reused_key_with_another_body_is_refused)
{
    call_simulation simulation{2};
    simulation.send(0, "k");
    simulation.run(1s);
    const auto other = simulation.send(1, "k", false, "POST", "another filing");
    const auto other_here = simulation.send(0, "k", false, "POST", "another filing");
    simulation.run(1s);
    check_refused(simulation, other, core::error_kind::unprocessable);
    check_refused(simulation, other_here, core::error_kind::unprocessable);
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(a_claim_is_read_back_when_the_store_loses_its_answer)
{
    call_simulation simulation{1};
    simulation.next_store_behaviour =
        behaviours<store_behaviour>({store_behaviour::applies_and_loses_answer});
    const auto caller = simulation.send(0, "k");
    simulation.run(2s);
    BOOST_TEST(simulation.results.at(caller).answered);
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(an_unavailable_store_leads_to_a_timely_and_final_refusal)
{
    for (const store_behaviour behaviour :
         {store_behaviour::refuses, store_behaviour::drops, store_behaviour::applies_late,
          store_behaviour::applies_and_loses_answer}) {
        call_simulation simulation{2};
        simulation.next_store_behaviour = [behaviour] { return behaviour; };
        const auto caller = simulation.send(0, "k");
        simulation.run(2s);
        check_refused(simulation, caller, core::error_kind::unavailable);
        simulation.run(60s);
        BOOST_TEST(simulation.runs["k"] == 0);
        simulation.next_store_behaviour = [] { return store_behaviour::answers; };
        simulation.run(10s);
        // The refused send released its claim, so a retry at another instance runs.
        const auto again = simulation.send(1, "k", true);
        simulation.run(2s);
        BOOST_TEST(simulation.results.at(again).answered);
        BOOST_TEST(simulation.runs["k"] == 1);
        BOOST_TEST(simulation.runs_of_send[std::to_string(caller)] == 0);
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_reported_and_never_rerun)
{
    for (const service_behaviour behaviour :
         {service_behaviour::runs_and_loses_answer, service_behaviour::drops,
          service_behaviour::answers_late}) {
        call_simulation simulation{2};
        simulation.next_service_behaviour = behaviours<service_behaviour>({behaviour});
        const auto first = simulation.send(0, "k");
        simulation.run(11s);
        check_refused(simulation, first, core::error_kind::outcome_unknown);
        const auto again = simulation.send(1, "k", true);
        simulation.run(600ms);
        check_refused(simulation, again, core::error_kind::outcome_unknown);
        simulation.run(30s);
        BOOST_TEST(simulation.runs["k"] == (behaviour == service_behaviour::drops ? 0 : 1));
        const auto later = simulation.send(1, "k", true);
        simulation.run(3s);
        // A late answer is recorded and returned to the next retry.
        BOOST_TEST(simulation.results.at(later).answered ==
                   (behaviour == service_behaviour::answers_late));
    }
}

BOOST_AUTO_TEST_CASE(a_crash_of_the_claim_owner_leaves_an_unknown_outcome)
{
    call_simulation simulation{2};
    simulation.next_service_behaviour = [] { return service_behaviour::answers_slowly; };
    simulation.send(0, "k");
    simulation.run(100ms);
    simulation.crash(0);
    const auto again = simulation.send(1, "k", true);
    simulation.run(5s);
    check_refused(simulation, again, core::error_kind::outcome_unknown);
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(a_key_whose_claim_a_restored_table_has_lost_does_not_run_twice)
{
    call_simulation simulation{2};
    const auto first = simulation.send(0, "k");
    simulation.run(1s);
    BOOST_REQUIRE(simulation.results.at(first).answered);
    BOOST_REQUIRE(simulation.table.restore(0));
    // The owner of the claim hears of the restore with the next answer of the table.
    simulation.send(0, "another");
    simulation.run(1s);
    const auto again = simulation.send(1, "k");
    simulation.run(1s);
    BOOST_TEST(simulation.results.at(again).body == "filed k as number 1");
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(a_running_call_whose_claim_a_restored_table_has_lost_does_not_run_twice)
{
    call_simulation simulation{2};
    simulation.next_service_behaviour =
        behaviours<service_behaviour>({service_behaviour::answers_slowly});
    const auto first = simulation.send(0, "k");
    simulation.run(100ms);
    BOOST_REQUIRE(simulation.table.restore(0));
    simulation.send(0, "another");
    // The repeat waits for at most 2 s, the answer takes 3 s.
    simulation.run(2s);
    const auto again = simulation.send(1, "k");
    simulation.run(30s);
    BOOST_TEST(simulation.results.at(first).body == "filed k as number 1");
    BOOST_TEST(simulation.results.at(again).body == "filed k as number 1");
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(a_repeat_before_the_owner_hears_of_a_restore_has_an_unknown_outcome)
{
    call_simulation simulation{2};
    simulation.send(0, "k");
    simulation.run(1s);
    BOOST_REQUIRE(simulation.table.restore(0));
    const auto again = simulation.send(1, "k", true);
    simulation.run(5s);
    BOOST_TEST(simulation.runs.at("k") == 1);
    check_refused(simulation, again, core::error_kind::outcome_unknown);
}

BOOST_AUTO_TEST_CASE(an_answer_replaces_the_unknown_outcome_that_a_repeat_left_after_a_restore)
{
    call_simulation simulation{2};
    simulation.send(0, "k");
    simulation.run(1s);
    BOOST_REQUIRE(simulation.table.restore(0));
    const auto early = simulation.send(1, "k", true);
    simulation.run(1s);
    check_refused(simulation, early, core::error_kind::outcome_unknown);
    // The owner of the lost claim hears of the restore and writes its answer.
    simulation.send(0, "another");
    simulation.run(1s);
    const auto again = simulation.send(1, "k", true);
    simulation.run(1s);
    BOOST_TEST(simulation.results.at(again).body == "filed k as number 1");
    BOOST_TEST(simulation.runs.at("k") == 1);
}

BOOST_AUTO_TEST_CASE(a_repeat_runs_again_some_time_after_a_restore)
{
    call_simulation simulation{1};
    simulation.send(0, "first");
    simulation.run(1s);
    BOOST_REQUIRE(simulation.table.restore(0));
    simulation.send(0, "second");
    simulation.run(call::call_settings{}.restore_period + 1s);
    const auto repeated = simulation.send(0, "third", true);
    simulation.run(1s);
    BOOST_TEST(simulation.results.at(repeated).answered);
}

BOOST_AUTO_TEST_CASE(a_call_without_a_key_is_retried_only_if_nothing_was_sent)
{
    call_simulation unsent{1};
    unsent.next_service_behaviour =
        behaviours<service_behaviour>({service_behaviour::refuses_connection});
    const auto first = unsent.send(0, "");
    unsent.run(1s);
    BOOST_TEST(unsent.results.at(first).answered);
    call_simulation sent{1};
    sent.next_service_behaviour =
        behaviours<service_behaviour>({service_behaviour::runs_and_loses_answer});
    const auto second = sent.send(0, "");
    sent.run(20s);
    check_refused(sent, second, core::error_kind::outcome_unknown);
    BOOST_TEST(sent.runs.at("") == 1);
    BOOST_TEST(sent.table_commits == 0U);
}

BOOST_AUTO_TEST_CASE(a_keyed_call_that_reaches_no_target_is_refused_and_retryable)
{
    call_simulation simulation{2};
    simulation.next_service_behaviour = [] { return service_behaviour::refuses_connection; };
    const auto first = simulation.send(0, "k");
    simulation.run(1s);
    check_refused(simulation, first, core::error_kind::unavailable);
    simulation.next_service_behaviour = [] { return service_behaviour::answers; };
    simulation.run(5s);
    const auto again = simulation.send(1, "k", true);
    simulation.run(1s);
    BOOST_TEST(simulation.results.at(again).answered);
    BOOST_TEST(simulation.runs["k"] == 1);
}

BOOST_AUTO_TEST_CASE(safe_methods_are_retried_within_the_budget)
{
    call_simulation simulation{1};
    simulation.next_service_behaviour =
        behaviours<service_behaviour>({service_behaviour::drops, service_behaviour::drops});
    const auto first = simulation.send(0, "", false, "GET");
    simulation.run(1s);
    BOOST_TEST(simulation.results.at(first).answered);
    simulation.next_service_behaviour = [] { return service_behaviour::drops; };
    std::size_t failed = 0;
    constexpr int calls = 100;
    int offered = 0;
    simulation.next_service_behaviour = [&offered] {
        ++offered;
        return service_behaviour::drops;
    };
    for (int i = 0; i < calls; ++i) {
        const auto caller = simulation.send(0, "", false, "GET");
        simulation.run(1s);
        failed += simulation.results.at(caller).failure.has_value() ? 1 : 0;
    }
    BOOST_TEST(failed == static_cast<std::size_t>(calls));
    // The budget allows one retry per ten calls, plus the ten that are available initially.
    BOOST_TEST(offered <= calls + calls / 10 + 10);
}

BOOST_AUTO_TEST_CASE(a_marked_retry_with_the_store_down_has_an_unknown_outcome)
{
    call_simulation simulation{2};
    simulation.send(0, "k");
    simulation.run(1s);
    simulation.next_store_behaviour = [] { return store_behaviour::refuses; };
    const auto marked = simulation.send(1, "k", true);
    const auto here = simulation.send(0, "k");
    simulation.run(3s);
    check_refused(simulation, marked, core::error_kind::outcome_unknown);
    BOOST_TEST(simulation.results.at(here).answered);
}
