#pragma once

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "http/request_task.hpp"
#include "support/observed_process.hpp"
#include "support/ports.hpp"
#include "support/table_service.hpp"

namespace cyclamen::test {

/// A process of `cyclamencourse route` with a table service.
class route_process {
  public:
    route_process()
    {
        std::filesystem::create_directories(folder_);
        BOOST_REQUIRE(table_.start().ok());
        const std::string peers_address = core::to_string(peers);
        const std::string settings_file = (folder_ / "instance.json").string();
        std::ofstream{settings_file}
            << nlohmann::json{{"name", "instance-0"},
                              {"failure_domain", "a"},
                              {"listen", core::to_string(entry)},
                              {"log_level", "warning"},
                              {"platform", {{"table", core::to_string(table_.address)}}},
                              {"peers", {{"listen", peers_address}, {"seeds", {peers_address}}}}}
                   .dump(2);
        process_.emplace(std::vector<std::string>{"route", "--config", settings_file}, descriptors,
                         (folder_ / "instance.log").string());
        await_ready();
        process_->set_idle();
    }
    ~route_process()
    {
        process_.reset();
        std::filesystem::remove_all(folder_);
    }
    route_process(const route_process&) = delete;
    route_process& operator=(const route_process&) = delete;

    static constexpr int descriptors = 2048;

    const core::socket_address entry = free_address();
    const core::socket_address peers = free_address();

    [[nodiscard]] observed_process& process() { return *process_; }

    /// @return status of the answer to an ordinary request on a new connection, 0 for none
    [[nodiscard]] int ordinary_status() const
    {
        const auto answer =
            http::fetch(entry, http::request{"GET", "/v1/instances", {}, ""}, answer_limit);
        return answer.ok() ? answer->status : 0;
    }

  private:
    static constexpr core::duration answer_limit = std::chrono::seconds{10};

    const std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / core::concat("route_process_", ::getpid());
    table_service table_;
    std::optional<observed_process> process_;

    void await_ready() const
    {
        constexpr int status_ok = 200;
        for (int i = 0; i < 500; ++i) {
            if (ordinary_status() == status_ok) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        BOOST_FAIL("the process was not ready");
    }
};

} // namespace cyclamen::test
