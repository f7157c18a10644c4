#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "load/arrival_plan.hpp"
#include "load/caller_task.hpp"
#include "load/load_report.hpp"
#include "task/channel.hpp"

namespace cyclamen::load {

/// An action to run at a given time of a load, such as injecting a fault.
struct timed_action {
    /// From the start of the load.
    core::duration at;
    std::function<void()> run;
};

/// Sends a planned load to instances and, like a real caller, retries at the next instance when one
/// dies. Used by one thread; run() blocks it until the load has ended.
class load_runner {
  public:
    /// @param settings the load
    /// @param instances addresses of the instances, used round-robin
    /// @param version version that the stand-in engines serve, needed to verify every token
    load_runner(load_settings settings, std::vector<core::socket_address> instances,
                std::string version);

    /// Runs the load.
    /// @param actions actions to run during the load, ascending by time
    /// @param progress called about once a second with the number of finished requests
    /// @return the results, or the error if the caller task can't be started
    [[nodiscard]] absl::StatusOr<load_report>
    run(std::vector<timed_action> actions, const std::function<void(std::uint64_t)>& progress);

  private:
    /// State of an unfinished request, over all its connections.
    struct open_request {
        planned_request planned;
        std::size_t instance;
        std::string text;
        int tries = 0;
        core::instant sent_at{};
        core::instant last_chunk_at{};
        core::duration first_token{};
        core::duration longest_gap{};
        core::duration mean_gap{};
        std::uint64_t attempts = 0;
        std::string last_event_id;
    };

    const load_settings settings_;
    const std::vector<core::socket_address> instances_;
    const std::string version_;
    core::system_clock clock_;
    std::shared_ptr<task::channel<generation_result>> results_;
    caller_task callers_;
    std::map<request_number, open_request> open_;
    load_report report_;

    void send_due_requests(const std::vector<planned_request>& plan, std::size_t& next,
                           core::instant start);
    void send(request_number number, open_request& request);
    void handle(const generation_result& result);
    void record_times(open_request& request, const generation_result& result);
    [[nodiscard]] bool retry_at_next_instance(request_number number, open_request& request,
                                              const generation_result& result);
    [[nodiscard]] outcome classify(const open_request& request,
                                   const generation_result& result) const;
};

} // namespace cyclamen::load
