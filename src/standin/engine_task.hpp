#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "http/server.hpp"
#include "standin/engine_model.hpp"
#include "standin/engine_settings.hpp"
#include "standin/engine_status.hpp"
#include "standin/stream_store.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::standin {

/// Fault of a stand-in engine.
enum class fault_kind {
    /// No fault.
    none,
    /// The process has died: connections are reset and refused.
    killed,
    /// The process is stopped: connections stay open, but nothing is processed.
    paused,
    /// Connections that are open now deliver nothing more; new ones work.
    silent,
    /// Tokens take longer by a factor.
    slow,
    /// Every request is answered with status 500.
    failing,
    /// Streams continue, new work is rejected, and the load report says so.
    leaving,
};

/// Starts a fault of an engine, or ends it.
struct set_fault {
    const fault_kind kind;
    /// For `slow`: multiplies the gaps between tokens.
    const double factor = 1.0;

    auto operator<=>(const set_fault&) const = default;
};

/// @return the fault with this name, empty if there is none
[[nodiscard]] std::optional<fault_kind> parse_fault_kind(std::string_view text);

/// Stand-in for a model engine: serves the completions protocol and resumable streams. Faults are
/// set by message or by `POST /admin/fault`.
class engine_task final : public task::basic_task<set_fault>, private http::server_handler {
  public:
    explicit engine_task(engine_settings settings);
    ~engine_task() override;

    /// @return the address the engine listens on
    [[nodiscard]] const core::socket_address& listen_address() const { return settings_.listen; }

    /// @return the model, for its counters; may be called after stop() only
    [[nodiscard]] const engine_model& model() const { return model_; }

  private:
    const engine_settings settings_;
    engine_model model_;
    engine_status status_{status_settings{}};
    std::unique_ptr<http::server> server_;
    stream_store streams_;
    stream_id last_stream_;
    fault_kind fault_ = fault_kind::none;
    std::optional<core::instant> timer_deadline_;
    task::timer_id timer_;

    absl::Status on_start() override;
    void on_message(const set_fault& command) override;
    void on_stop() override;
    void on_request(http::exchange_id exchange, const http::request& request) override;
    void on_disconnect(http::exchange_id exchange) override;

    absl::Status listen();
    void on_completion(http::exchange_id exchange, const http::request& request);
    void on_stream_query(http::exchange_id exchange, const http::request& request);
    void on_fault_request(http::exchange_id exchange, const http::request& request);
    void send_stats(http::exchange_id exchange);
    bool answer_status(http::exchange_id exchange, const http::request& request);
    void send_error(http::exchange_id exchange, int status, std::string_view message);
    void apply(const set_fault& command);
    void send_tokens(http::exchange_id exchange, const std::vector<std::string>& tokens, bool last);
    void produce_tokens();
    void send_delayed(http::exchange_id exchange, std::string text, bool last);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;
    void set_timer();
};

} // namespace cyclamen::standin
