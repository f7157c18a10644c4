#include "platform_fixture.hpp"

#include "support/raw_server.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using standin::runner_fault;
using test::captured_log;
using test::platform_fixture;

BOOST_AUTO_TEST_CASE(streams_complete_when_an_engine_is_killed_and_are_logged)
{
    captured_log log;
    platform_fixture fixture;
    std::thread killer{[&] {
        std::this_thread::sleep_for(500ms);
        // One of the three engines runs the stream, another one holds its standby copy.
        fixture.inject_fault("engine-0", runner_fault::killed);
    }};
    std::size_t complete = 0;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "stream-" + std::to_string(i);
        const auto answer = fixture.send(id, "/s/x", true);
        complete += answer.body.find("id: 60\n") != std::string::npos ? 1 : 0;
        BOOST_TEST(log.events_of(id).find("request_ended") != std::string::npos);
    }
    killer.join();
    BOOST_TEST(complete == 3U);
}

BOOST_AUTO_TEST_CASE(the_log_explains_an_interrupted_stream)
{
    captured_log log;
    platform_fixture fixture;
    fixture.inject_fault("engine", runner_fault::cutting);
    const auto answer = fixture.send("cut-1", "/s/x", true);
    BOOST_TEST(answer.body.find("id: 60\n") == std::string::npos);
    const std::string events = log.events_of("cut-1");
    BOOST_TEST(events.find("target_listed") != std::string::npos);
    BOOST_TEST(events.find("attempt_opened attempt_lost ") != std::string::npos);
    BOOST_TEST(events.ends_with("request_ended "));
}

BOOST_AUTO_TEST_CASE(the_log_explains_an_unsafe_call_that_failed)
{
    captured_log log;
    platform_fixture fixture;
    fixture.inject_fault("desk", runner_fault::losing);
    constexpr int status_bad_gateway = 502;
    BOOST_TEST(fixture.send("call-1", "/u/x", false).status == status_bad_gateway);
    BOOST_TEST(log.events_of("call-1").ends_with(
        "attempt_opened attempt_lost request_abandoned request_ended "));
}

BOOST_AUTO_TEST_CASE(the_log_explains_a_rejection_by_a_runner_that_sheds_load)
{
    captured_log log;
    platform_fixture fixture;
    fixture.inject_fault("desk", runner_fault::shedding);
    constexpr int status_unavailable = 503;
    BOOST_TEST(fixture.send("call-2", "/u/x", false).status == status_unavailable);
    const std::string events = log.events_of("call-2");
    BOOST_TEST(events.find("attempt_opened attempt_rejected ") != std::string::npos);
    BOOST_TEST(events.ends_with("request_ended "));
}

BOOST_AUTO_TEST_CASE(the_log_explains_which_configuration_refused_a_request)
{
    captured_log log;
    platform_fixture fixture;
    constexpr int status_not_found = 404;
    BOOST_TEST(fixture.send("call-3", "/none/x", false).status == status_not_found);
    BOOST_TEST(log.events_of("call-3").ends_with("request_refused "));
    BOOST_TEST(log.contains("revision=1 confirmed_by=store confirmed_ms_ago="));
}

BOOST_AUTO_TEST_CASE(a_route_added_right_after_an_outage_of_the_store_is_served_in_time)
{
    platform_fixture fixture;
    fixture.send_to_store(standin::set_row_store_fault{standin::row_store_fault::silent});
    std::this_thread::sleep_for(3400ms);
    fixture.send_to_store(standin::set_row_store_fault{standin::row_store_fault::none});
    fixture.add_route();
    // The settings want a configuration in force within 2 s.
    BOOST_TEST(fixture.await_new_route(2s));
}

BOOST_AUTO_TEST_CASE(requests_with_a_deadly_prompt_part_do_not_crash_engine_after_engine)
{
    captured_log log;
    platform_fixture fixture;
    constexpr int status_unavailable = 503;
    int status = 0;
    for (int i = 0; i < 6; ++i) {
        status =
            fixture.send("bad-" + std::to_string(i), "/s/x", true, "head:100,deadly:50,").status;
        // Until the engines are back.
        std::this_thread::sleep_for(700ms);
    }
    BOOST_TEST(status == status_unavailable);
    BOOST_TEST(log.count("may_have_crashed=true") <= 5U);
    const auto sound = fixture.send("good-1", "/s/x", true, "head:100,");
    BOOST_TEST(sound.body.find("id: 60\n") != std::string::npos);
}

// Guards against a request that ends engine after engine before one of them has answered.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_before_they_answer_is_refused)
{
    captured_log log;
    platform_fixture fixture;
    constexpr int status_unavailable = 503;
    int status = 0;
    for (int i = 0; i < 4; ++i) {
        status = fixture.send("bad-" + std::to_string(i), "/s/x", true, "", "fatal").status;
        // Until the engines are back.
        std::this_thread::sleep_for(700ms);
    }
    BOOST_TEST(status == status_unavailable);
    BOOST_TEST(log.count("event=attempt_lost") <= 4U);
    const auto sound = fixture.send("good-1", "/s/x", true);
    BOOST_TEST(sound.body.find("id: 60\n") != std::string::npos);
}

// Guards against a request that ends a plain runner each time it comes.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_plain_runners_is_refused)
{
    captured_log log;
    platform_fixture fixture;
    constexpr int status_unavailable = 503;
    constexpr int status_ok = 200;
    int status = 0;
    for (int i = 0; i < 5; ++i) {
        status = fixture.send("bad-" + std::to_string(i), "/u/x", false, "", "fatal").status;
        // Until the runner is back.
        std::this_thread::sleep_for(700ms);
    }
    BOOST_TEST(status == status_unavailable);
    BOOST_TEST(log.count("event=attempt_lost") == 3U);
    BOOST_TEST(fixture.send("good-1", "/u/x", false).status == status_ok);
}

// Guards against streams that wait for the rest of their time on connections that carry nothing
// more, while their engines answer over new ones.
BOOST_AUTO_TEST_CASE(a_stream_whose_connection_falls_silent_goes_on_over_another)
{
    captured_log log;
    platform_fixture fixture;
    std::thread saboteur{[&] {
        std::this_thread::sleep_for(400ms);
        fixture.inject_fault("engine", runner_fault::channels_silent);
    }};
    const auto answer = fixture.send("quiet-1", "/s/x", true);
    saboteur.join();
    BOOST_TEST(answer.body.find("id: 60\n") != std::string::npos);
    BOOST_TEST(log.count("event=channel_lost request=quiet-1") == 1U);
}

// Guards against a second run of a stream beside the one of an engine that is paused for a moment.
BOOST_AUTO_TEST_CASE(a_stream_stays_with_an_engine_that_is_paused_for_less_than_a_second)
{
    captured_log log;
    platform_fixture fixture;
    std::thread saboteur{[&] {
        std::this_thread::sleep_for(400ms);
        fixture.inject_fault("engine", runner_fault::paused);
        std::this_thread::sleep_for(800ms);
        fixture.inject_fault("engine", runner_fault::none);
    }};
    const auto answer = fixture.send("pause-1", "/s/x", true);
    saboteur.join();
    BOOST_TEST(answer.body.find("id: 60\n") != std::string::npos);
    BOOST_TEST(log.count("event=attempt_opened request=pause-1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_runner_that_asks_for_no_requests_gets_none_until_that_time_is_over)
{
    captured_log log;
    platform_fixture fixture;
    constexpr int status_ok = 200;
    constexpr int status_unavailable = 503;
    fixture.inject_fault("desk", runner_fault::holding);
    BOOST_TEST(fixture.send("call-4", "/u/x", false).status == status_unavailable);
    fixture.inject_fault("desk", runner_fault::none);
    BOOST_TEST(fixture.send("call-5", "/u/x", false).status == status_unavailable);
    BOOST_TEST(log.events_of("call-5").find("attempt_opened") == std::string::npos);
    std::this_thread::sleep_for(1s);
    BOOST_TEST(fixture.send("call-6", "/u/x", false).status == status_ok);
}

BOOST_AUTO_TEST_CASE(a_runner_that_says_it_leaves_gets_no_further_request)
{
    captured_log log;
    platform_fixture fixture;
    constexpr int status_ok = 200;
    constexpr int status_unavailable = 503;
    fixture.inject_fault("desk", runner_fault::leaving_unlisted);
    BOOST_TEST(fixture.send("call-7", "/u/x", false).status == status_ok);
    BOOST_TEST(fixture.send("call-8", "/u/x", false).status == status_unavailable);
    BOOST_TEST(log.contains("event=target_leaving"));
    // Its next incarnation serves again.
    fixture.inject_fault("desk", runner_fault::none);
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(fixture.send("call-9", "/u/x", false).status == status_ok);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_next_targets_fail_is_cut_and_has_none_of_their_bytes)
{
    for (const runner_fault fault :
         {runner_fault::failing, runner_fault::shedding, runner_fault::mixing,
          runner_fault::restarting, runner_fault::losing}) {
        captured_log log;
        platform_fixture fixture;
        std::thread saboteur{[&] {
            std::this_thread::sleep_for(400ms);
            const std::string running = log.first_target_of("stream-1");
            for (const std::string name : {"engine-0", "engine-1", "engine-2"}) {
                if (name != running) {
                    fixture.inject_fault(name, fault);
                }
            }
            fixture.inject_fault(running, runner_fault::killed);
        }};
        const std::string received = fixture.send_raw(
            "POST /s/x HTTP/1.1\r\nHost: test.example\r\nX-Cyclamencourse-Request-Id: stream-1\r\n"
            "X-Cyclamencourse-Deadline-Ms: 5000\r\nX-Cyclamencourse-Token-Counts: 100,600\r\n"
            "X-Cyclamencourse-Prompt-Prefix: part-1:100\r\nContent-Length: 4\r\n\r\nbody");
        saboteur.join();
        const std::string what = "fault " + std::to_string(static_cast<int>(fault));
        BOOST_TEST(received.starts_with("HTTP/1.1 200"), what);
        BOOST_TEST(received.rfind("HTTP/1.") == 0U, what);
        BOOST_TEST(received.find("failed") == std::string::npos, what);
        BOOST_TEST(!received.ends_with("0\r\n\r\n"), what);
        std::uint64_t next = 1;
        for (std::size_t at = received.find("\nid: "); at != std::string::npos;
             at = received.find("\nid: ", at + 1)) {
            BOOST_TEST(std::stoull(received.substr(at + 5)) == next++, what);
        }
        BOOST_TEST(next > 1U, what);
        BOOST_TEST(next <= 60U, what);
        BOOST_TEST(log.contains("outcome=cut"), what);
    }
}

BOOST_AUTO_TEST_CASE(requests_around_a_planned_stop_get_an_answer_that_is_true)
{
    captured_log log;
    platform_fixture fixture;
    const std::string head = "POST /long/x HTTP/1.1\r\nHost: test.example\r\n"
                             "X-Cyclamencourse-Deadline-Ms: 5000\r\nContent-Length: 4\r\n"
                             "X-Cyclamencourse-Request-Id: ";
    fixture.inject_fault("desk", runner_fault::dark);
    std::string before;
    std::thread caller{[&] { before = fixture.send_raw(head + "before\r\n\r\nbody"); }};
    std::this_thread::sleep_for(200ms);
    fixture.request_stop();
    std::this_thread::sleep_for(500ms);
    const std::string late = fixture.send_raw(head + "late\r\n\r\nbody");
    BOOST_TEST(late.starts_with("HTTP/1.1 503"));
    BOOST_TEST(late.find("retry-after: ") != std::string::npos);
    BOOST_TEST(late.find("connection: close") != std::string::npos);
    BOOST_TEST(log.count("event=attempt_opened request=late") == 0U);
    // The settings let the platform kill the process 3 s after the stop.
    BOOST_TEST(fixture.await_end(3s));
    caller.join();
    BOOST_TEST(before.starts_with("HTTP/1.1 504"));
}

// Guards against faulty runners whose answers have no end: the memory that each may use adds up.
BOOST_AUTO_TEST_CASE(answers_without_end_share_a_bounded_memory)
{
    captured_log log;
    platform_fixture fixture;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Cyclamencourse-Request-Id: endless\r\n"
                             "X-Cyclamencourse-Response-Seal: seal\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    std::vector<std::unique_ptr<test::raw_server>> targets;
    for (int i = 0; i < 3; ++i) {
        targets.push_back(std::make_unique<test::raw_server>(head, chunk));
        fixture.list_target("raw-" + std::to_string(i), "raw", targets.back()->address);
    }
    std::vector<std::thread> callers;
    std::atomic<int> lost = 0;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back(
            [&] { lost += fixture.send("endless", "/raw/x", false).status == 200 ? 0 : 1; });
    }
    constexpr int status_ok = 200;
    BOOST_TEST(fixture.send("sound", "/u/x", false).status == status_ok);
    for (std::thread& each : callers) {
        each.join();
    }
    BOOST_TEST(lost == 6);
    // Two megabytes are the share of the fixture's memory for responses in progress, and one
    // response alone may have eight.
    BOOST_TEST(log.contains("event=response_given_up"));
    BOOST_TEST(!log.contains("response body is too large"));
}
