#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/socket_address.hpp"
#include "http/message_reader.hpp"
#include "http/tcp_stream.hpp"
#include "soak/call_record.hpp"
#include "task/basic_task.hpp"
#include "task/outbox.hpp"

namespace cyclamen::soak {

/// Settings of the callers.
struct caller_settings {
    const std::uint64_t seed;
    const std::vector<core::socket_address> instances;
    /// Number of callers.
    const std::size_t callers = 24;
    /// Longest pause between two requests of a caller.
    const core::duration max_pause = std::chrono::milliseconds{60};
    /// Deadline that callers put on their requests.
    const core::duration request_timeout = std::chrono::seconds{6};
    /// Fraction of the requests that the caller abandons early.
    const double abandon_fraction = 0.05;
    /// Fraction of the requests that crash the runners that run them.
    const double deadly_fraction = 0.0;
    const std::string host = "soak.example";
    const std::string key = "soak-key";
};

/// Informs the callers of changes.
struct caller_update {
    /// Newest configuration revision that may be in force.
    const std::uint64_t revision;
    /// Number of the current process of each instance.
    const std::vector<std::uint64_t> processes;
    /// False if no new request may be sent.
    const bool sending_allowed;

    auto operator<=>(const caller_update&) const = default;
};

/// Callers that send one request after another, each over a connection that it keeps until the
/// connection ends. A caller resumes an interrupted stream after its last event, at any instance.
class caller_task final : public task::basic_task<caller_update> {
  public:
    caller_task(caller_settings settings, task::outbox_ptr<call_record> records);
    ~caller_task() override;

  private:
    class caller;

    const caller_settings settings_;
    task::outbox_ptr<call_record> records_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::uint64_t revision_ = 0;
    std::vector<std::uint64_t> processes_;
    bool sending_allowed_ = false;
    std::uint64_t last_request_number_ = 0;

    absl::Status on_start() override;
    void on_message(const caller_update& message) override;
    void on_stop() override;
    void record(call_record call);
    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
};

} // namespace cyclamen::soak
