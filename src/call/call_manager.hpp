#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "api/call_messages.hpp"
#include "call/call.hpp"
#include "call/claim_store.hpp"
#include "call/claim_writer.hpp"
#include "call/retry_budget.hpp"
#include "model/configuration.hpp"
#include "routing/target_chooser.hpp"

namespace cyclamen::call {

/// Receives the messages of a call handler. Called on the decision task.
class call_output {
  public:
    virtual ~call_output() = default;
    virtual void send(api::service_command command) = 0;
    virtual void send(api::call_answer answer) = 0;
    virtual void send(api::call_failed failed) = 0;
};

/// Handles calls of plain services and answers each caller exactly once. Called on the decision
/// task, which passes the current instant.
class call_handler {
  public:
    virtual ~call_handler() = default;
    virtual void configure(model::configuration_ptr configuration) = 0;
    virtual void on_request(const api::call_request& request, core::instant now) = 0;
    virtual void on_caller_gone(core::caller_id caller, core::instant now) = 0;
    virtual void on_service_event(const api::service_event& event, core::instant now) = 0;
    virtual void on_timer(core::instant now) = 0;
    /// @return when on_timer() should be called next, empty if no timer is pending
    [[nodiscard]] virtual std::optional<core::instant> next_deadline() const = 0;
};

/// Call counters since the start of the instance.
struct call_counts {
    const std::uint64_t received = 0;
    const std::uint64_t answered = 0;
    const std::uint64_t refused_not_run = 0;
    const std::uint64_t unknown = 0;
    const std::uint64_t offered = 0;

    auto operator<=>(const call_counts&) const = default;
};

/// Handles all calls of one instance and runs each keyed call at most once across all instances.
/// Opens no socket and reads no clock.
class call_manager final : public call_handler, private call_host, private claim_listener {
  public:
    /// @param settings limits
    /// @param nonce_prefix unique to this incarnation of this instance; part of every nonce
    /// @param definition the chart `call`
    /// @param chooser decides which target runs a call
    /// @param store persistent store of the claims
    /// @param output receives the messages of the manager
    call_manager(call_settings settings, std::string nonce_prefix,
                 std::shared_ptr<const chart::chart> definition, routing::target_chooser& chooser,
                 claim_store& store, call_output& output);

    void configure(model::configuration_ptr configuration) override;
    void on_request(const api::call_request& request, core::instant now) override;
    void on_caller_gone(core::caller_id caller, core::instant now) override;
    void on_service_event(const api::service_event& event, core::instant now) override;
    void on_timer(core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;

    /// Called when the store has lost acknowledged writes. Writes the claims of the calls that this
    /// instance has sent again, so that other instances don't send them too.
    void on_store_restored(core::instant now);

    [[nodiscard]] call_counts counts() const;
    /// @return number of calls in progress
    [[nodiscard]] std::size_t live_count() const { return calls_.size(); }
    /// @return number of final claim states that are not in the table yet
    [[nodiscard]] std::size_t claim_writer_backlog() const { return claim_writer_.backlog(); }

  private:
    using timer_key = std::pair<api::call_id, call_event>;

    /// A keyed call that this instance sent to a target.
    struct recent_call {
        std::string nonce;
        std::string body_hash;
        std::optional<api::service_response> response;
    };

    const call_settings settings_;
    const std::string nonce_prefix_;
    std::shared_ptr<const chart::chart> definition_;
    routing::target_chooser& chooser_;
    claim_store& store_;
    call_output& output_;
    claim_writer claim_writer_;
    model::configuration_ptr configuration_;
    std::map<api::call_id, std::unique_ptr<call>> calls_;
    std::map<core::caller_id, api::call_id> calls_by_caller_;
    std::map<claim_ticket, api::call_id> calls_by_ticket_;
    std::map<timer_key, core::instant> timers_;
    std::set<std::pair<core::instant, timer_key>> timer_queue_;
    std::map<core::service_name, retry_budget> budgets_;
    std::map<claim_key, recent_call> recent_calls_;
    /// Oldest first, for eviction.
    std::deque<claim_key> recent_call_order_;
    /// Until then, claims of other instances may be missing from the store.
    std::optional<core::instant> claims_lost_until_;
    api::call_id last_id_;
    core::instant now_{};
    std::uint64_t received_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_not_run_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t offered_ = 0;

    void refuse(core::caller_id caller, const absl::Status& status);
    void begin(const api::call_request& request, const model::client_account& account,
               const model::service& service);
    /// Answers a retried request from a response that this instance received before.
    /// @return false if no such response is known
    bool answer_from_recent_calls(const call_context& context);
    [[nodiscard]] call* find(api::call_id id);
    /// Chooses targets while the call waits for one, and removes the call once it is over.
    void advance(call& current);
    [[nodiscard]] std::optional<model::target> choose(const call& pending_call);

    void on_claim_answer(claim_ticket ticket, const claim_answer& answer,
                         core::instant now) override;

    void write_claim(const call_context& context, api::row_version expected) override;
    void read_claim(const call_context& context) override;
    void save_final_state(const call_context& context, claim_record record,
                          api::row_version expected) override;
    [[nodiscard]] bool may_have_run_here(const call_context& context) const override;
    [[nodiscard]] bool has_store_lost_claims() const override;
    bool take_retry(const call_context& context) override;
    void on_attempt_opened(const call_context& context, const core::target_name& target) override;
    void on_attempt_not_sent(const call_context& context) override;
    void on_attempt_ended(const core::target_name& target, bool lost) override;
    void on_answer_received(const call_context& context,
                            const api::service_response& response) override;
    void send(api::service_command command) override { output_.send(std::move(command)); }
    void answer(core::caller_id caller, const api::service_response& response) override;
    void fail(const call_context& context, core::failure reason) override;
    void start_timer(api::call_id id, call_event event, core::duration delay) override;
    void stop_timer(api::call_id id, call_event event) override;
};

} // namespace cyclamen::call
