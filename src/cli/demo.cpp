#include "cli/demo.hpp"

#include <iostream>
#include <memory>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/command_line.hpp"
#include "core/text.hpp"
#include "instance/instance.hpp"
#include "load/caller_task.hpp"
#include "model/client_account.hpp"
#include "settings/instance_settings.hpp"
#include "standin/engine_task.hpp"
#include "standin/token_chain.hpp"
#include "task/channel.hpp"
#include "task/signals.hpp"

namespace cyclamen::cli {

namespace {

using document = nlohmann::json;

constexpr std::uint16_t first_engine_port = 18100;
constexpr std::uint16_t first_instance_port = 18200;
constexpr int engine_count = 3;
constexpr int instance_count = 3;
constexpr int request_count = 12;
constexpr std::uint64_t tokens_per_answer = 120;
constexpr core::duration kill_delay = std::chrono::milliseconds{400};
constexpr core::duration result_timeout = std::chrono::seconds{30};
constexpr const char* failure_domains[] = {"regina", "saskatoon", "winnipeg"};
constexpr const char* accounts[] = {"lantern", "touwbaan"};
constexpr const char* demo_version = "v1";

std::string bearer_key(int account)
{
    return core::concat("demo-key-", accounts[account]);
}

core::socket_address loopback(int port)
{
    return core::socket_address{"127.0.0.1", static_cast<std::uint16_t>(port)};
}

document declarations()
{
    document targets = document::array();
    for (int i = 0; i < engine_count; ++i) {
        targets.push_back({{"name", core::concat("engine-", i)},
                           {"service", "notices"},
                           {"version", demo_version},
                           {"address", core::to_string(loopback(first_engine_port + i))},
                           {"failure_domain", failure_domains[i]}});
    }
    document declared_accounts = document::array();
    for (int i = 0; i < 2; ++i) {
        declared_accounts.push_back(
            {{"name", accounts[i]}, {"key_hash", model::hash_key(bearer_key(i))}});
    }
    return {
        {"services", {{{"name", "notices"}, {"kind", "generation"}, {"version", demo_version}}}},
        {"targets", targets},
        {"accounts", declared_accounts}};
}

/// Engines, instances and callers of the demo.
class demo_system {
  public:
    absl::Status start()
    {
        for (int i = 0; i < engine_count; ++i) {
            engines_.push_back(std::make_unique<standin::engine_task>(standin::engine_settings{
                loopback(first_engine_port + i), demo_version, std::chrono::milliseconds{10},
                std::chrono::microseconds{100}, std::chrono::microseconds{20},
                static_cast<std::uint32_t>(i)}));
            const absl::Status started = engines_.back()->start();
            if (!started.ok()) {
                return started;
            }
        }
        for (int i = 0; i < instance_count; ++i) {
            const absl::Status started = start_instance(i);
            if (!started.ok()) {
                return started;
            }
        }
        return callers_.start();
    }

    void send_requests()
    {
        for (int i = 0; i < request_count; ++i) {
            const absl::Status posted = callers_.inbox()->post(load::send_generation{
                load::request_number{static_cast<std::uint64_t>(i)},
                loopback(first_instance_port + i % instance_count), bearer_key(i % 2), "",
                "notices", prompt_of(i), tokens_per_answer, i % 3 != 2});
            static_cast<void>(posted);
        }
    }

    void kill_engine()
    {
        const absl::Status posted =
            engines_.front()->inbox()->post(standin::set_fault{standin::fault_kind::killed});
        static_cast<void>(posted);
    }

    [[nodiscard]] std::optional<load::generation_result> next_result()
    {
        return results_->take(result_timeout);
    }

    [[nodiscard]] static std::string prompt_of(int request)
    {
        return core::concat("draft the notice for family number ", request);
    }

    void stop()
    {
        callers_.stop();
        for (const auto& each : instances_) {
            each->stop();
        }
        for (const auto& each : engines_) {
            each->stop();
        }
    }

  private:
    std::vector<std::unique_ptr<standin::engine_task>> engines_;
    std::vector<std::unique_ptr<instance::instance>> instances_;
    std::shared_ptr<task::channel<load::generation_result>> results_ =
        std::make_shared<task::channel<load::generation_result>>();
    load::caller_task callers_{results_};

    absl::Status start_instance(int index)
    {
        const document body{{"name", core::concat("instance-", index)},
                            {"failure_domain", failure_domains[index]},
                            {"listen", core::to_string(loopback(first_instance_port + index))},
                            {"declarations", declarations()}};
        const auto settings = settings::decode_instance_settings(body, "demo");
        if (!settings.ok()) {
            return settings.status();
        }
        auto started = instance::instance::start(*settings, chart::library::embedded());
        if (!started.ok()) {
            return started.status();
        }
        instances_.push_back(*std::move(started));
        return absl::OkStatus();
    }
};

bool print_result(const load::generation_result& result)
{
    const int number = static_cast<int>(result.number.value());
    const auto check =
        standin::check_answer(demo_system::prompt_of(number), demo_version, result.text);
    const bool whole = result.complete && check.is_complete(tokens_per_answer);
    std::cout << fmt::format("{:7}  {:<8}  {:<6}  {:<5}  {:6}  {:14.1f}  {:14.1f}  {:8.0f}  {}\n",
                             number, accounts[number % 2], number % 3 != 2 ? "stream" : "whole",
                             whole ? "yes" : "NO", check.correct_tokens,
                             core::to_milliseconds(result.first_token),
                             core::to_milliseconds(result.longest_gap),
                             core::to_milliseconds(result.total), result.error);
    return whole;
}

/// Prints the result of each request.
/// @return true if every answer was whole
bool print_results(demo_system& system)
{
    std::cout << "request  account   form    whole  tokens  first token ms  longest gap ms  total "
                 "ms  error\n";
    bool all_whole = true;
    for (int i = 0; i < request_count; ++i) {
        const auto result = system.next_result();
        if (!result.has_value()) {
            std::cout << "timed out waiting for an answer\n";
            return false;
        }
        all_whole = print_result(*result) && all_whole;
    }
    return all_whole;
}

void print_commands()
{
    std::cout << "\nThe demo keeps running; stop it with SIGTERM or ctrl-C. Try:\n"
              << "  curl -N " << core::to_string(loopback(first_instance_port))
              << "/v1/completions -H 'Authorization: Bearer " << bearer_key(0)
              << "' -d '{\"model\":\"notices\",\"prompt\":\"a "
                 "notice\",\"max_tokens\":50,\"stream\":true}'\n"
              << "  curl " << core::to_string(loopback(first_engine_port + 1))
              << "/admin/fault -d '{\"kind\":\"killed\"}'\n"
              << "  curl " << core::to_string(loopback(first_instance_port)) << "/v1/instances\n"
              << std::flush;
}

} // namespace

int demo(bool keep)
{
    core::set_log_level(core::log_level::warning);
    demo_system system;
    const absl::Status started = system.start();
    if (!started.ok()) {
        std::cerr << "error: " << started.message() << "\n";
        system.stop();
        return exit_failure;
    }
    std::cout << engine_count << " engines, " << instance_count << " instances, " << request_count
              << " requests of " << tokens_per_answer
              << " tokens; engine-0 is killed during the run.\n";
    system.send_requests();
    const bool stopped_early = task::wait_for_stop_signal(kill_delay);
    system.kill_engine();
    const bool all_whole = !stopped_early && print_results(system);
    std::cout << (all_whole ? "every answer was whole\n" : "NOT every answer was whole\n");
    if (keep) {
        print_commands();
        while (!task::wait_for_stop_signal(std::chrono::hours{1})) {
        }
    }
    system.stop();
    return all_whole ? 0 : exit_failure;
}

} // namespace cyclamen::cli
