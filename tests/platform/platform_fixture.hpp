#pragma once

#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include "core/log.hpp"
#include "explain/timeline.hpp"
#include "http/request_task.hpp"
#include "platform/platform_instance.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "support/ports.hpp"
#include "support/raw_exchange.hpp"
#include "task/channel.hpp"

namespace cyclamen::test {

using namespace std::chrono_literals;
using standin::runner_fault;

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
        {"name":"f","host":"test.example","prefix":"/raw-safe/","kind":"safe","timeout_ms":2000,
         "goal_ms":300,"priority":2,"backend":"raw","attempts":2,"public":true},
        {"name":"t","host":"test.example","prefix":"/raw-stream/","kind":"streaming",
         "timeout_ms":2000,"goal_ms":1500,"priority":1,"backend":"raw","attempts":1,"public":true,
         "resumable":true,"gap_target_ms":700}],
        "backends":[{"name":"engines","health_path":"/healthz","engine":{"slots":64,
          "kv_capacity_tokens":1000000,"backups":true,"moves":false,"models":[{"name":"m"}]}},
          {"name":"desk","health_path":"/healthz"},
          {"name":"raw","health_path":"/healthz"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
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

} // namespace cyclamen::test
