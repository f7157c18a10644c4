#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "api/call_messages.hpp"
#include "call/call_chart.hpp"
#include "call/call_settings.hpp"
#include "call/claim_record.hpp"
#include "chart/machine.hpp"
#include "model/target.hpp"

namespace cyclamen::call {

/// Immutable data of a call.
struct call_context {
    const api::call_id id;
    /// Key of the claim; its request key is empty if the call needs no claim.
    const claim_key claim;
    /// Identifies this send of the request among all sends at all instances.
    const std::string nonce;
    const std::string body_hash;
    const core::version_name version;
    /// True if the HTTP method is safe, so that the call may run more than once.
    const bool is_safe;
    const api::call_request request;

    auto operator<=>(const call_context&) const = default;
};

/// Callbacks of a call, implemented by the call manager. Called on the decision task.
class call_host {
  public:
    virtual ~call_host() = default;
    /// Writes the claim of the call; the outcome arrives at call::on_claim_*().
    /// @param expected version that the claim must have in the table; 0 if it must not exist
    virtual void write_claim(const call_context& context, api::row_version expected) = 0;
    /// Reads the claim of the call; the outcome arrives at call::on_claim_*().
    virtual void read_claim(const call_context& context) = 0;
    /// Writes the final state of the claim, retrying until the store confirms it.
    virtual void save_final_state(const call_context& context, claim_record record,
                                  api::row_version expected) = 0;
    /// @return true if this instance knows that another send of the request may have run
    [[nodiscard]] virtual bool may_have_run_here(const call_context& context) const = 0;
    /// @return true if the store may lack claims of other instances because it was restored
    [[nodiscard]] virtual bool has_store_lost_claims() const = 0;
    /// Takes one retry from the budget.
    /// @return false if the budget is exhausted
    virtual bool take_retry(const call_context& context) = 0;
    /// Records that an attempt at a target was opened.
    virtual void on_attempt_opened(const call_context& context,
                                   const core::target_name& target) = 0;
    /// Records that no byte of the last attempt was sent.
    virtual void on_attempt_not_sent(const call_context& context) = 0;
    /// Records that an attempt ended.
    /// @param lost true if it ended without an answer
    virtual void on_attempt_ended(const core::target_name& target, bool lost) = 0;
    /// Records the answer of a target, for retries of the same request.
    virtual void on_answer_received(const call_context& context,
                                    const api::service_response& response) = 0;
    virtual void send(api::service_command command) = 0;
    virtual void answer(core::caller_id caller, const api::service_response& response) = 0;
    /// Reports a failure to the caller.
    virtual void fail(const call_context& context, core::failure reason) = 0;
    virtual void start_timer(api::call_id id, call_event event, core::duration delay) = 0;
    virtual void stop_timer(api::call_id id, call_event event) = 0;
};

/// One call of a plain service. The chart `call` makes the decisions; this class performs its
/// actions. Owned by the call manager.
class call final : private chart::machine_host {
  public:
    call(call_context context, const call_settings& settings,
         std::shared_ptr<const chart::chart> definition, call_host& host);

    /// Enters the initial state and raises `begun`. Called once.
    void start();

    void on_claim_written();
    /// @param may_be_applied true if the write may have taken effect
    void on_claim_failed(bool may_be_applied);
    /// @param claim the claim in the table, empty if there is none
    void on_claim_current(const std::optional<stored_claim>& claim);
    void on_sent(const api::call_sent& sent);
    void on_answered(const api::call_answered& answered);
    void on_lost(const api::call_lost& lost);
    void on_timer(call_event event);
    void on_caller_gone();

    /// Continues a claimed call that waits for a target.
    /// @param target the target to use, empty if none is available
    void proceed(const std::optional<model::target>& target);

    [[nodiscard]] const call_context& context() const { return context_; }
    [[nodiscard]] bool is_over() const { return machine_.is_final(); }
    [[nodiscard]] bool is_claimed() const { return machine_.is_in("claimed"); }
    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }
    [[nodiscard]] const std::set<core::target_name>& failed_targets() const
    {
        return failed_targets_;
    }

  private:
    const call_context context_;
    const call_settings& settings_;
    call_host& host_;
    chart::machine machine_;
    bool has_caller_ = true;
    /// True once a byte of the call may have been sent and the opposite was not proven.
    bool may_have_been_sent_ = false;
    /// True once a byte of an earlier attempt was sent.
    bool was_sent_ = false;
    /// Version that the claim is expected to have in the table.
    api::row_version expected_;
    std::optional<stored_claim> found_claim_;
    const model::target* chosen_target_ = nullptr;
    std::optional<core::target_name> attempt_target_;
    std::set<core::target_name> failed_targets_;
    core::attempt_number attempt_;
    const api::service_response* response_ = nullptr;

    void raise(call_event event);
    [[nodiscard]] bool is_keyed() const { return !context_.claim.key.empty(); }
    [[nodiscard]] bool is_current(const api::call_attempt& attempt) const;
    [[nodiscard]] bool is_found_in_state(claim_state state) const;
    void close_attempt(bool lost);

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
    [[nodiscard]] core::duration limit_of(call_timeout timeout) const;

    [[nodiscard]] claim_record make_record(claim_state state) const;
    void write_claim();
    void save_final_state(claim_state state);
    void offer();
    void record_answer();
    void answer_from_row();
    void fail_with_unknown_outcome();
    void refuse(core::error_kind kind, std::string_view problem, std::string_view remedy,
                core::duration retry_after);
};

} // namespace cyclamen::call
