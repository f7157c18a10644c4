#pragma once

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "core/socket_address.hpp"
#include "http/server.hpp"
#include "standin/instance_list.hpp"
#include "standin/object_store.hpp"
#include "standin/weight_store.hpp"
#include "table/memory_table.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::standin {

/// Settings of a stand-in platform.
struct platform_settings {
    const core::socket_address listen;
    /// Delay of every answer.
    const core::duration latency = std::chrono::milliseconds{2};
    /// Time that the weight store takes for one load.
    const core::duration load_time = std::chrono::seconds{2};
    /// Time until a report becomes visible in the list of instances.
    const core::duration list_lag = std::chrono::seconds{2};
    /// Time without a report after which an instance is removed from the list.
    const core::duration list_lapse = std::chrono::seconds{10};

    auto operator<=>(const platform_settings&) const = default;
};

/// Fault of a stand-in platform.
enum class platform_fault {
    /// No fault.
    none,
    /// Connections are refused.
    down,
    /// Every request is answered with status 503; nothing is written.
    refusing,
    /// Requests are neither executed nor answered.
    silent,
    /// Writes take effect, and their connections are closed without an answer.
    losing,
    /// Answers take longer by a factor.
    slow,
    /// The table returns to an earlier state; what it has acknowledged since is lost.
    restored,
};

/// Starts a fault of the platform, or ends it.
struct set_platform_fault {
    const platform_fault kind;
    /// For `slow`: multiplies the delay of the answers.
    const double factor = 1.0;
    /// For `restored`: age of the state that the table returns to.
    const core::duration back{};

    auto operator<=>(const set_platform_fault&) const = default;
};

/// @return the fault with this name, empty if there is none
[[nodiscard]] std::optional<platform_fault> parse_platform_fault(std::string_view text);

/// Counters of a stand-in platform.
struct platform_counts {
    const std::uint64_t transactions = 0;
    const std::uint64_t rows_written = 0;
    const std::uint64_t reads = 0;

    auto operator<=>(const platform_counts&) const = default;
};

/// Stand-in for the platform: table service, object store, weight store and list of instances (see
/// docs/PLATFORM.md). Faults are set by message or by `POST /admin/fault`.
class platform_task final : public task::basic_task<set_platform_fault>,
                            private http::server_handler {
  public:
    explicit platform_task(platform_settings settings);
    ~platform_task() override;

    /// @return its counters; may be called after stop() only
    [[nodiscard]] platform_counts counts() const;

  private:
    const platform_settings settings_;
    table::memory_table table_;
    /// Number of transactions of the table as of an instant.
    std::map<core::instant, std::uint64_t> transactions_at_;
    object_store objects_;
    weight_store weights_;
    instance_list instances_;
    std::unique_ptr<http::server> server_;
    platform_fault fault_ = platform_fault::none;
    double slowdown_ = 1.0;
    std::uint64_t transactions_ = 0;
    std::uint64_t rows_written_ = 0;
    std::uint64_t reads_ = 0;

    absl::Status on_start() override;
    void on_message(const set_platform_fault& command) override;
    void on_stop() override;
    void on_request(http::exchange_id exchange, const http::request& request) override;
    void on_disconnect(http::exchange_id exchange) override;

    absl::Status listen();
    void answer(http::exchange_id exchange, int status, std::string body, core::duration delay);
    void on_admin(http::exchange_id exchange, const http::request& request);
    void on_table(http::exchange_id exchange, const http::request& request);
    void count_command(const api::table_command& command, const api::table_event& event);
    void on_object(http::exchange_id exchange, const http::request& request);
    void on_weights(http::exchange_id exchange);
    void on_instances(http::exchange_id exchange, const http::request& request);
    void apply(const set_platform_fault& command);
    void restore_table(core::duration back);
};

} // namespace cyclamen::standin
