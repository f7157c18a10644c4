#include "platform/platform_instance.hpp"

#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include "explain/timeline.hpp"
#include "http/request_task.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "support/ports.hpp"
#include "support/raw_exchange.hpp"
#include "support/raw_server.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

/// Captures the log for the lifetime of the object.
class captured_log {
  public:
    captured_log() { core::redirect_log(std::make_shared<spdlog::sinks::ostream_sink_mt>(text_)); }
    ~captured_log()
    {
        core::redirect_log(std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cerr));
    }

    /// @return names of the log events that explain a request, each followed by a space
    std::string events_of(const std::string& request)
    {
        std::istringstream lines{text_.str()};
        std::string events;
        for (const auto& each :
             explain::build_timeline(request, {explain::read_log("log", lines)})) {
            const std::size_t start = each.text.find("event=") + 6;
            events += each.text.substr(start, each.text.find(' ', start) - start) + " ";
        }
        return events;
    }

    /// @return name of the target of a request's first attempt, empty if there was none
    std::string first_target_of(const std::string& request)
    {
        const std::string logged = text_.str();
        const std::size_t opened = logged.find("event=attempt_opened request=" + request);
        if (opened == std::string::npos) {
            return {};
        }
        const std::size_t start = logged.find("target=", opened) + 7;
        return logged.substr(start, logged.find(' ', start) - start);
    }

    /// @return true if the text was logged
    [[nodiscard]] bool contains(std::string_view text) const { return count(text) > 0; }

    /// @return how often the text was logged
    [[nodiscard]] std::size_t count(std::string_view text) const
    {
        const std::string logged = text_.str();
        std::size_t found = 0;
        for (std::size_t at = logged.find(text); at != std::string::npos;
             at = logged.find(text, at + 1)) {
            ++found;
        }
        return found;
    }

  private:
    std::ostringstream text_;
};

/// One instance with stand-ins for the platform's store and runners.
class platform_fixture {
  public:
    platform_fixture()
        : store_address_{test::free_address()}, store_{standin::row_store_settings{store_address_}}
    {
        BOOST_REQUIRE(store_.start().ok());
        for (int i = 0; i < 3; ++i) {
            add_runner("engine-" + std::to_string(i), "engines", std::string(1, "abc"[i]));
        }
        add_runner("desk-0", "desk", "a");
        BOOST_REQUIRE(store_.inbox()
                          ->post(standin::write_rows{
                              {standin::row_write{"op", "config", configuration, false}}})
                          .ok());
        const auto read = platform::decode_settings(instance_settings(), "test");
        BOOST_REQUIRE_MESSAGE(read.ok(), std::string{read.status().message()});
        auto started = platform::platform_instance::start(*read, chart::library::embedded(), left_);
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
        instance_ = *std::move(started);
        await_ready();
    }

    ~platform_fixture() { instance_->stop(); }

    /// Sends a request and waits for its answer.
    /// @param shared_parts prompt parts before the request's own one, each followed by a comma
    /// @return the answer; status 0 if the connection was closed without one
    http::request_result send(const std::string& id, const std::string& path, bool streams,
                              const std::string& shared_parts = "",
                              const std::string& body = "body")
    {
        std::vector<http::header> headers{{"host", "test.example"},
                                          {"x-cyclamencourse-request-id", id},
                                          {"x-cyclamencourse-deadline-ms", "5000"}};
        if (streams) {
            headers.push_back({"x-cyclamencourse-token-counts", "100,600"});
            headers.push_back(
                {"x-cyclamencourse-prompt-prefix", shared_parts + "part-" + id + ":100"});
        }
        const auto result = http::fetch(entry_, http::request{"POST", path, headers, body}, 10s);
        return result.ok() ? *result : http::request_result{{}, 0, "", "cut"};
    }

    /// Lists a target of a service and waits until the instance knows it.
    void list_target(const std::string& name, const std::string& service,
                     const core::socket_address& address)
    {
        const nlohmann::json row{{"backend", service}, {"address", core::to_string(address)},
                                 {"zone", "a"},        {"version", "v1"},
                                 {"slots", 64},        {"state", "ready"},
                                 {"cold_left_ms", 0},  {"sequence", 1},
                                 {"born", 1000}};
        send_to_store(
            standin::write_rows{{standin::row_write{"servers", name, row.dump(), false}}});
        std::this_thread::sleep_for(400ms);
    }

    /// Removes a target from the list.
    void remove_target(const std::string& name)
    {
        send_to_store(standin::write_rows{{standin::row_write{"servers", name, {}, true}}});
    }

    void request_stop() { instance_->request_stop(); }

    /// @return true if the instance asks its owner to end the process within the limit
    bool await_end(core::duration limit) { return left_->take(limit).has_value(); }

    /// @return all bytes that follow on a request's bytes until the connection is closed
    std::string send_raw(const std::string& bytes) { return test::exchange_raw(entry_, bytes); }

    /// Injects a fault into all runners whose name starts with the prefix.
    void inject_fault(const std::string& prefix, runner_fault fault)
    {
        for (const auto& [name, runner] : runners_) {
            if (name.starts_with(prefix)) {
                BOOST_REQUIRE(runner->inbox()->post(standin::set_runner_fault{fault}).ok());
            }
        }
        std::this_thread::sleep_for(50ms);
    }

    void send_to_store(standin::row_store_message message)
    {
        const absl::Status posted = store_.inbox()->post(std::move(message));
        BOOST_REQUIRE(posted.ok());
    }

    /// Adds the route /new/ to the configuration.
    void add_route()
    {
        std::string changed = configuration;
        changed.replace(changed.find("\"version\":1"), 11, "\"version\":2");
        changed.insert(changed.find("{\"name\":\"u\""),
                       R"({"name":"n","host":"test.example","prefix":"/new/","kind":"unsafe",
                          "timeout_ms":800,"backend":"desk","attempts":1,"public":true},)");
        send_to_store(standin::write_rows{{standin::row_write{"op", "config", changed, false}}});
    }

    /// @return true if a request for the route /new/ is answered with success within the limit
    bool await_new_route(core::duration limit)
    {
        constexpr int status_ok = 200;
        const auto end = std::chrono::steady_clock::now() + limit;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            if (send("new-" + std::to_string(i), "/new/x", false).status == status_ok) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

  private:
    static constexpr const char* configuration = R"({"version":1,"routes":[
        {"name":"s","host":"test.example","prefix":"/s/","kind":"streaming","timeout_ms":4000,
         "goal_ms":1500,"priority":1,"backend":"engines","attempts":3,"public":true,
         "resumable":true,"gap_target_ms":700},
        {"name":"u","host":"test.example","prefix":"/u/","kind":"unsafe","timeout_ms":800,
         "goal_ms":300,"priority":2,"backend":"desk","attempts":1,"public":true},
        {"name":"l","host":"test.example","prefix":"/long/","kind":"unsafe","timeout_ms":5000,
         "goal_ms":300,"priority":2,"backend":"desk","attempts":1,"public":true},
        {"name":"r","host":"test.example","prefix":"/raw/","kind":"unsafe","timeout_ms":2000,
         "goal_ms":300,"priority":2,"backend":"raw","attempts":1,"public":true},
        {"name":"t","host":"test.example","prefix":"/raw-stream/","kind":"streaming",
         "timeout_ms":2000,"goal_ms":1500,"priority":1,"backend":"raw","attempts":1,"public":true,
         "resumable":true,"gap_target_ms":700}],
        "backends":[{"name":"engines","health_path":"/healthz","engine":{"slots":64,
          "kv_capacity_tokens":1000000,"backups":true,"moves":false,"models":[{"name":"m"}]}},
          {"name":"desk","health_path":"/healthz"},
          {"name":"raw","health_path":"/healthz"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000}})";

    const core::socket_address store_address_;
    const core::socket_address entry_ = test::free_address();
    const core::socket_address ready_ = test::free_address();
    standin::row_store_task store_;
    std::map<std::string, std::unique_ptr<standin::runner_task>> runners_;
    std::shared_ptr<task::channel<relay::instance_left>> left_ =
        std::make_shared<task::channel<relay::instance_left>>();
    std::unique_ptr<platform::platform_instance> instance_;

    void add_runner(const std::string& name, const std::string& service, const std::string& domain)
    {
        const core::socket_address listen = test::free_address();
        auto runner = std::make_unique<standin::runner_task>(
            standin::runner_settings{.name = name,
                                     .listen = listen,
                                     .listed_address = listen,
                                     .service = service,
                                     .failure_domain = domain,
                                     .deadly_part = "deadly",
                                     .deadly_body = "fatal"},
            nullptr, store_.inbox());
        BOOST_REQUIRE(runner->start().ok());
        runners_.emplace(name, std::move(runner));
    }

    [[nodiscard]] nlohmann::json instance_settings() const
    {
        return nlohmann::json{{"name", "i-0"},
                              {"failure_domain", "a"},
                              {"cores", 1},
                              {"listen",
                               {{"entry", core::to_string(entry_)},
                                {"ready", core::to_string(ready_)},
                                {"directory", core::to_string(test::free_address())},
                                {"metrics", core::to_string(test::free_address())},
                                {"feed", core::to_string(test::free_address())}}},
                              {"store", {{"address", core::to_string(store_address_)}}},
                              {"retries", {{"ratio", 0.8}, {"slack", 300}, {"window_s", 10}}},
                              {"limits",
                               {{"leave_s", 3},
                                {"target_drain_ms", 2000},
                                {"configuration_ms", 2000},
                                {"directory_keep_s", 3},
                                {"memory_mb", 8}}}};
    }

    void await_ready()
    {
        constexpr int status_ok = 200;
        for (int i = 0; i < 500; ++i) {
            const auto answer = http::fetch(ready_, http::request{"GET", "/readyz", {}, ""}, 1s);
            if (answer.ok() && answer->status == status_ok) {
                // Gives the instance time to read the rows that were written before its start.
                std::this_thread::sleep_for(400ms);
                return;
            }
            std::this_thread::sleep_for(10ms);
        }
        BOOST_FAIL("the instance was not ready within 5 s");
    }
};

} // namespace

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

BOOST_AUTO_TEST_CASE(an_answer_whose_head_is_cut_never_reaches_the_caller_as_a_success)
{
    platform_fixture fixture;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nX-Cyclamencourse-Request-Id: cut\r\n"
                             "X-Cyclamencourse-Response-Seal: seal\r\nContent-Length: 0\r\n";
    int number = 0;
    for (const std::string& sent : {std::string{"HTTP/1.1 200 O"}, head.substr(0, 17),
                                    head.substr(0, 30), head.substr(0, head.size() - 2), head,
                                    head + "\r", interim + head, interim.substr(0, 23)}) {
        for (const bool resets : {false, true}) {
            for (const std::string path : {"/raw/x", "/raw-stream/x"}) {
                const std::string name = "raw-" + std::to_string(++number);
                test::raw_server target{sent, "", resets};
                fixture.list_target(name, "raw", target.address);
                const auto send = [&] {
                    return fixture.send_raw(
                        "POST " + path +
                        " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\n"
                        "X-Cyclamencourse-Request-Id: cut\r\nX-Cyclamencourse-Deadline-Ms: 1500\r\n"
                        "Content-Length: 4\r\n\r\nbody");
                };
                std::string received = send();
                // A refusal says that the target was not listed yet or is held back.
                for (int i = 0; i < 40 && target.connections == 0; ++i) {
                    std::this_thread::sleep_for(50ms);
                    received = send();
                }
                fixture.remove_target(name);
                const std::string what = path + " after '" + sent + "'" + (resets ? ", reset" : "");
                BOOST_TEST(target.connections >= 1, what);
                BOOST_TEST(received.starts_with("HTTP/1.1 502"), what + ": " + received);
                BOOST_TEST(received.find("HTTP/1.1 2") == std::string::npos, what);
            }
        }
    }
    // The same head is a success once it is whole.
    test::raw_server target{head + "\r\n", ""};
    fixture.list_target("raw-whole", "raw", target.address);
    BOOST_TEST((fixture.send("cut", "/raw/x", false).status == 200));
}
