#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

std::size_t attempts(const relay_fixture& fixture)
{
    return relay_fixture::count<relay::open_attempt>(fixture.to_targets);
}

const core::failure& last_refusal(const relay_fixture& fixture)
{
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    BOOST_REQUIRE(refused != nullptr);
    return refused->reason;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_of_one_kind_do_not_crash_one_engine_after_the_other)
{
    relay_fixture fixture;
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1", 5);
    fixture.list_targets(9);
    std::size_t crashes = 0;
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        fixture.submit_parts(caller, {"shared", "deadly"});
        for (int i = 0; i < 5 && fixture.open_requests() > 0; ++i) {
            fixture.crash_attempt();
            ++crashes;
            fixture.advance(100ms);
        }
    }
    // The rule of the platform counts from the fifth crash.
    BOOST_TEST(crashes <= 5U);
    BOOST_TEST(last_refusal(fixture).not_run);
    BOOST_TEST((last_refusal(fixture).kind == core::error_kind::quarantined));
    // A request that shares the other part and the account runs.
    const std::size_t before = attempts(fixture);
    fixture.submit_parts(11, {"shared"});
    BOOST_TEST(attempts(fixture) == before + 1);
}

// Guards against refusals of sound requests by restarted instances, which know the crashes that
// others have reported but have seen no answers themselves.
BOOST_AUTO_TEST_CASE(a_restarted_instance_runs_requests_that_share_a_part_with_deadly_ones)
{
    relay_fixture fixture;
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1", 5);
    fixture.list_targets(9);
    std::uint64_t caller = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.submit_parts(++caller, {"shared"});
        fixture.stream_to(1);
        fixture.advance(400ms);
        fixture.stream_to(2);
    }
    for (int i = 0; i < 4; ++i) {
        // Sound streams that have just begun are lost beside the deadly request.
        fixture.submit_parts(++caller, {"shared"});
        fixture.crash_attempt();
        fixture.submit_parts(++caller, {"shared", "deadly"});
        if (fixture.open_requests() > 0) {
            fixture.crash_attempt();
        }
    }
    std::vector<relay::crash_record> written;
    for (const auto& each : fixture.to_store) {
        if (const auto* report = std::get_if<relay::report_crash>(each.get()); report != nullptr) {
            written.push_back(report->crash);
        }
    }
    BOOST_TEST(!written.empty());
    relay_fixture restarted;
    restarted.handle(relay::crashes_listed{written, {}});
    restarted.submit_parts(++caller, {"shared"});
    BOOST_TEST(attempts(restarted) == 1U);
    restarted.submit_parts(++caller, {"shared", "deadly"});
    BOOST_TEST(attempts(restarted) == 1U);
}

// Guards against refusals of requests with equal content after ordinary crashes.
BOOST_AUTO_TEST_CASE(requests_with_equal_content_that_are_answered_outlive_ordinary_crashes)
{
    relay_fixture fixture;
    fixture.list_targets(9);
    std::uint64_t caller = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.submit_content(++caller, "body");
        fixture.stream_to(1);
        fixture.advance(400ms);
        fixture.stream_to(2);
    }
    for (int i = 0; i < 4; ++i) {
        fixture.submit_content(++caller, "body");
        fixture.crash_attempt();
    }
    const std::size_t before = attempts(fixture);
    fixture.submit_content(++caller, "body");
    BOOST_TEST(attempts(fixture) == before + 1);
}

// Guards against a request that ends engine after engine before one of them has answered.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_before_they_answer_is_quarantined)
{
    relay_fixture fixture;
    fixture.apply_configuration(2, relay::request_kind::streaming, "key-1", 5);
    fixture.list_targets(9);
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
        fixture.submit_content(caller, "deadly");
        for (int i = 0; i < 5 && fixture.open_requests() > 0; ++i) {
            fixture.crash_attempt(false);
            fixture.advance(100ms);
        }
        fixture.advance(1s);
    }
    BOOST_TEST(attempts(fixture) == 3U);
    BOOST_TEST((last_refusal(fixture).kind == core::error_kind::quarantined));
    BOOST_TEST(last_refusal(fixture).not_run);
    fixture.submit_content(9, "sound");
    BOOST_TEST(attempts(fixture) == 4U);
}

// Guards against a request that ends a plain runner each time it comes.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_plain_targets_is_quarantined)
{
    relay_fixture fixture{relay::request_kind::unsafe};
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
        fixture.submit_content(caller, "deadly");
        if (fixture.open_requests() > 0) {
            fixture.crash_attempt(false);
        }
        fixture.advance(1s);
    }
    BOOST_TEST(attempts(fixture) == 3U);
    BOOST_TEST((last_refusal(fixture).kind == core::error_kind::quarantined));
    BOOST_TEST(last_refusal(fixture).not_run);
    fixture.submit_content(9, "sound");
    BOOST_TEST(attempts(fixture) == 4U);
}

// Guards against refusals of plain requests that are answered and share a target with a deadly one.
BOOST_AUTO_TEST_CASE(plain_requests_that_are_answered_outlive_crashes)
{
    relay_fixture fixture{relay::request_kind::safe};
    std::uint64_t caller = 0;
    for (int i = 0; i < 12; ++i) {
        fixture.submit_content(++caller, "sound");
        if (i % 3 == 2) {
            fixture.crash_attempt(false);
        }
        fixture.handle(relay::attempt_answered{fixture.last_attempt().attempt,
                                               relay::answer_head{200, {}}, "answer"});
        BOOST_TEST(fixture.open_requests() == 0U);
    }
    BOOST_TEST(relay_fixture::count<relay::answer_refused>(fixture.to_entries) == 0U);
}

// Guards against refusals of requests whose connections were lost while the targets ran on.
BOOST_AUTO_TEST_CASE(a_loss_at_a_target_that_runs_on_is_no_evidence)
{
    relay_fixture fixture;
    fixture.list_targets(9);
    for (std::uint64_t caller = 1; caller <= 9; ++caller) {
        fixture.submit_content(caller, "sound");
        const std::size_t before = attempts(fixture);
        // Every other loss comes after the head of the answer.
        if (caller % 2 == 0) {
            fixture.handle(
                relay::stream_begun{fixture.last_attempt().attempt, relay::answer_head{200, {}}});
        }
        fixture.lose_attempt();
        BOOST_TEST(attempts(fixture) == before + 1);
    }
}

BOOST_AUTO_TEST_CASE(a_loss_at_a_leaving_target_is_no_evidence)
{
    relay_fixture fixture;
    for (std::uint64_t caller = 1; caller <= 6; ++caller) {
        fixture.list_targets(3);
        fixture.submit_content(caller, "sound");
        fixture.list_targets(3, true);
        fixture.ended_targets = {"t-0", "t-1", "t-2"};
        fixture.lose_attempt();
        fixture.ended_targets.clear();
        fixture.handle(relay::targets_listed{true, {}, {}});
    }
    BOOST_TEST(attempts(fixture) == 6U);
}

BOOST_AUTO_TEST_CASE(crashes_that_other_instances_report_quarantine_a_request)
{
    relay_fixture fixture;
    std::vector<relay::crash_record> learnt;
    for (int i = 0; i < 3; ++i) {
        const std::string number = std::to_string(i);
        learnt.push_back(relay::crash_record{
            "i-2-" + number, core::service_name{"engines"}, {"deadly", "request:" + number}});
    }
    fixture.handle(relay::crashes_listed{learnt, {}});
    fixture.submit_parts(1, {"deadly"});
    BOOST_TEST(attempts(fixture) == 0U);
    BOOST_TEST(last_refusal(fixture).not_run);
    // Their withdrawal ends it.
    fixture.handle(relay::crashes_listed{{}, {"i-2-0"}});
    fixture.submit_parts(2, {"deadly"});
    BOOST_TEST(attempts(fixture) == 1U);
}

BOOST_AUTO_TEST_CASE(crashes_are_reported_to_other_instances)
{
    relay_fixture fixture;
    fixture.submit_parts(1, {"deadly"});
    fixture.crash_attempt();
    BOOST_TEST(relay_fixture::count<relay::report_crash>(fixture.to_store) == 1U);
    fixture.crash_attempt();
    BOOST_TEST(relay_fixture::count<relay::report_crash>(fixture.to_store) == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_target_is_refused_when_it_is_quarantined)
{
    relay_fixture fixture;
    fixture.list_targets(0);
    fixture.submit_parts(1, {"deadly"});
    std::vector<relay::crash_record> learnt;
    for (int i = 0; i < 3; ++i) {
        learnt.push_back(relay::crash_record{"r-" + std::to_string(i),
                                             core::service_name{"engines"},
                                             {"deadly", "request:" + std::to_string(i)}});
    }
    fixture.handle(relay::crashes_listed{learnt, {}});
    fixture.list_targets(3);
    fixture.advance(100ms);
    BOOST_TEST(attempts(fixture) == 0U);
    BOOST_TEST(last_refusal(fixture).not_run);
}

// Guards against sound requests that are refused for minutes after crashes that they did not cause.
BOOST_AUTO_TEST_CASE(a_quarantined_request_runs_as_a_trial_after_a_pause)
{
    relay_fixture fixture;
    fixture.list_targets(9);
    std::vector<relay::crash_record> learnt;
    for (int i = 0; i < 3; ++i) {
        const std::string number = std::to_string(i);
        learnt.push_back(relay::crash_record{
            "r-" + number, core::service_name{"engines"}, {"part", "request:" + number}});
    }
    fixture.handle(relay::crashes_listed{learnt, {}});
    fixture.submit_parts(1, {"part"});
    BOOST_TEST(attempts(fixture) == 0U);
    BOOST_TEST((last_refusal(fixture).retry_after == 10s));
    fixture.advance(10s);
    for (std::uint64_t caller = 2; caller <= 4; ++caller) {
        fixture.submit_parts(caller, {"part"});
        BOOST_TEST(attempts(fixture) == caller - 1);
        fixture.submit_parts(10 * caller, {"part"});
        BOOST_TEST(attempts(fixture) == caller - 1);
        fixture.stream_to(1);
        fixture.advance(350ms);
        fixture.stream_to(2);
    }
    fixture.submit_parts(5, {"part"});
    BOOST_TEST(attempts(fixture) == 4U);
}

BOOST_AUTO_TEST_CASE(a_trial_that_crashes_its_target_is_not_repeated)
{
    relay_fixture fixture;
    fixture.list_targets(9);
    for (std::uint64_t caller = 1; caller <= 20; ++caller) {
        fixture.submit_parts(caller, {"deadly"});
        for (int i = 0; i < 3 && fixture.open_requests() > 0; ++i) {
            fixture.crash_attempt();
            fixture.advance(30ms);
        }
        fixture.advance(1s);
    }
    // Three until the quarantine, one with other content, and the trial.
    BOOST_TEST(attempts(fixture) == 5U);
}

// Guards against streams that are cut in the middle because others with their parts crash targets.
BOOST_AUTO_TEST_CASE(a_stream_that_has_run_for_a_while_is_not_quarantined)
{
    relay_fixture fixture;
    fixture.submit_parts(1, {"part"});
    fixture.stream_to(1);
    fixture.advance(350ms);
    fixture.stream_to(2);
    std::vector<relay::crash_record> learnt;
    for (int i = 0; i < 3; ++i) {
        const std::string number = std::to_string(i);
        learnt.push_back(relay::crash_record{
            "r-" + number, core::service_name{"engines"}, {"part", "request:" + number}});
    }
    fixture.handle(relay::crashes_listed{learnt, {}});
    fixture.lose_attempt();
    BOOST_TEST(attempts(fixture) == 2U);
    BOOST_TEST(relay_fixture::count<relay::answer_cut>(fixture.to_entries) == 0U);
    // A new request with the part is refused.
    fixture.submit_parts(2, {"part"});
    BOOST_TEST(attempts(fixture) == 2U);
}

BOOST_AUTO_TEST_CASE(the_loss_of_a_stream_that_had_run_for_a_while_is_no_crash)
{
    relay_fixture fixture;
    fixture.submit_parts(1, {"part"});
    for (int i = 0; i < 2; ++i) {
        fixture.stream_to(10 * i + 1);
        fixture.advance(350ms);
        fixture.stream_to(10 * i + 2);
        fixture.lose_attempt();
    }
    BOOST_TEST(relay_fixture::count<relay::report_crash>(fixture.to_store) == 0U);
}

BOOST_AUTO_TEST_CASE(a_record_whose_writer_has_ended_is_written_again_if_a_restore_lost_it)
{
    relay_fixture fixture;
    const auto record = [](const std::string& name) {
        return relay::crash_record{name, core::service_name{"engines"}, {"deadly"}};
    };
    fixture.handle(relay::crashes_listed{{record("gone-7-1"), record("i-2-8-1")}, {}});
    fixture.handle(relay::members_listed{
        false,
        {relay::member_entry{
            relay::member{core::instance_name{"i-2"}, core::socket_address{"10.1.1.2", 80},
                          core::failure_domain_name{"a"}, core::socket_address{"10.1.1.2", 81}},
            {1, 2}}},
        {}});
    const auto reported = [&] {
        return relay_fixture::count<relay::report_crash>(fixture.to_store);
    };
    fixture.handle(relay::crashes_restored{{"gone-7-1", "i-2-8-1"}});
    BOOST_TEST(reported() == 0U);
    // The writer of the other record is listed and writes it itself.
    fixture.handle(relay::crashes_restored{{}});
    BOOST_REQUIRE(reported() == 1U);
    BOOST_TEST(relay_fixture::find_last<relay::report_crash>(fixture.to_store)->crash.name ==
               "gone-7-1");
}
