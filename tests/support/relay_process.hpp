#pragma once

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "http/request_task.hpp"
#include "soak/soak_documents.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "support/observed_process.hpp"
#include "support/ports.hpp"

namespace cyclamen::test {

/// Limits that a test gives to the process.
struct relay_process_limits {
    int memory_mb = 64;
    int descriptors = 1024;
    std::size_t max_body_bytes = 4'000'000;
};

/// A process of `cyclamencourse relay` with a store, an engine and a plain runner.
class relay_process {
  public:
    explicit relay_process(const relay_process_limits& limits = {})
    {
        std::filesystem::create_directories(folder_);
        BOOST_REQUIRE(store_.start().ok());
        add_runner("engine-0", soak::engine_service);
        add_runner("desk-0", soak::plain_service);
        auto configuration = nlohmann::json::parse(soak::configuration_text(1));
        configuration["limits"]["max_body_bytes"] = limits.max_body_bytes;
        BOOST_REQUIRE(store_.inbox()
                          ->post(standin::row_store_message{standin::write_rows{
                              {standin::row_write{"op", "config", configuration.dump(), false}}}})
                          .ok());
        auto settings =
            nlohmann::json::parse(soak::settings_text("instance-0", "a", at, store_address_, {}));
        settings["limits"]["memory_mb"] = limits.memory_mb;
        const std::string settings_file = (folder_ / "instance.json").string();
        std::ofstream{settings_file} << settings.dump(2);
        process_.emplace(std::vector<std::string>{"relay", "--config", settings_file},
                         limits.descriptors, (folder_ / "instance.log").string());
        await_ready();
        process_->set_idle();
    }
    ~relay_process()
    {
        process_.reset();
        std::filesystem::remove_all(folder_);
    }
    relay_process(const relay_process&) = delete;
    relay_process& operator=(const relay_process&) = delete;

    const soak::instance_addresses at{free_address(), free_address(), free_address(),
                                      free_address(), free_address()};

    [[nodiscard]] bool is_alive() { return process_->is_alive(); }
    [[nodiscard]] long peak_mib() const { return process_->peak_mib(); }
    [[nodiscard]] long peak_above_idle_mib() const { return process_->peak_above_idle_mib(); }
    [[nodiscard]] std::size_t open_descriptors() const { return process_->open_descriptors(); }

    /// @return status of the answer to an ordinary request on a new connection, 0 for none
    [[nodiscard]] int ordinary_status()
    {
        ++requests_;
        const auto answer = http::fetch(
            at.entry,
            http::request{"GET",
                          "/r/x",
                          {{"host", "soak.example"},
                           {"api-key", "soak-key"},
                           {"x-cyclamencourse-request-id", core::concat("ordinary-", requests_)},
                           {"x-cyclamencourse-deadline-ms", "8000"}},
                          ""},
            answer_limit);
        return answer.ok() ? answer->status : 0;
    }

    /// @return status of the answer to a GET request at another listener, 0 for none
    [[nodiscard]] static int get_status(const core::socket_address& address,
                                        const std::string& path)
    {
        const auto answer = http::fetch(address, http::request{"GET", path, {}, ""}, answer_limit);
        return answer.ok() ? answer->status : 0;
    }

  private:
    static constexpr core::duration answer_limit = std::chrono::seconds{10};

    const std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / core::concat("relay_process_", ::getpid());
    const core::socket_address store_address_ = free_address();
    standin::row_store_task store_{standin::row_store_settings{.listen = store_address_}};
    std::vector<std::unique_ptr<standin::runner_task>> runners_;
    std::optional<observed_process> process_;
    int requests_ = 0;

    void add_runner(const std::string& name, const char* service)
    {
        const core::socket_address listen = free_address();
        runners_.push_back(std::make_unique<standin::runner_task>(
            standin::runner_settings{.name = name,
                                     .listen = listen,
                                     .listed_address = listen,
                                     .service = service,
                                     .failure_domain = "a",
                                     .event_gap = std::chrono::milliseconds{1},
                                     .stream_events = 3000},
            nullptr, store_.inbox()));
        BOOST_REQUIRE(runners_.back()->start().ok());
    }

    void await_ready()
    {
        constexpr int status_ok = 200;
        for (int i = 0; i < 500; ++i) {
            if (get_status(at.ready, "/readyz") == status_ok && ordinary_status() == status_ok) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        BOOST_FAIL("the process was not ready");
    }
};

} // namespace cyclamen::test
