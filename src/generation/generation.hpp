#pragma once

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api/caller_messages.hpp"
#include "api/engine_messages.hpp"
#include "chart/machine.hpp"
#include "generation/generation_chart.hpp"
#include "generation/generation_settings.hpp"
#include "generation/journal.hpp"
#include "generation/lineage.hpp"
#include "generation/outcome_listener.hpp"
#include "generation/resume_policy.hpp"
#include "generation/timeout_policy.hpp"
#include "model/target.hpp"

namespace cyclamen::generation {

/// Immutable description of a generation, taken from its request.
struct generation_plan {
    const core::generation_id id;
    const core::account_name account;
    const core::request_key key;
    const core::service_name service;
    const core::version_name version;
    const std::string prompt;
    const std::uint32_t max_tokens;
    const std::uint32_t priority;
    const core::duration timeout;
    /// Route by which the version is used, as in attempt_subject::route.
    const std::string route;
    const model::label_set account_labels;
    /// Which owners produced the tokens; the last branch is this generation.
    const lineage origin;
    /// Hash of the request, as returned by detail::hash_of().
    const std::uint64_t request_hash;

    auto operator<=>(const generation_plan&) const = default;
};

/// Callbacks of generation, implemented by its manager. Called on the decision task.
class generation_host {
  public:
    virtual ~generation_host() = default;

    /// Adds the generation to the placement queue.
    virtual void seek_target(core::generation_id id) = 0;

    virtual void send(api::engine_command command) = 0;
    virtual void send(api::front_command command) = 0;

    /// The open attempt produced new tokens.
    /// @param id the generation
    /// @param first position of the first new token
    /// @param tokens the new tokens
    virtual void on_attempt_tokens(core::generation_id id, std::uint64_t first,
                                   const std::vector<std::string>& tokens) = 0;

    /// The generation dropped all tokens after the first `kept` ones.
    virtual void on_tokens_forgotten(core::generation_id id, std::uint64_t kept) = 0;

    /// @param id the generation
    /// @param held how many tokens its journal holds
    /// @return how many of them may be delivered to streaming callers
    [[nodiscard]] virtual std::uint64_t released_tokens(core::generation_id id,
                                                        std::uint64_t held) const = 0;

    /// Hands over a caller whose generation another instance has taken over.
    /// @param request the caller's request, updated to the tokens that it has received
    virtual void hand_over(const api::generation_request& request) = 0;

    /// Releases all tokens of a generation without waiting for a peer to hold them.
    virtual void release_all(core::generation_id id) = 0;

    /// The open attempt produced all tokens that were requested from it.
    virtual void on_attempt_finished(core::generation_id id, const core::target_name& target) = 0;

    /// The open attempt was lost.
    virtual void on_attempt_lost(core::generation_id id, const core::target_name& target,
                                 loss_cause cause) = 0;

    /// The open attempt was cancelled by this instance, for example because no caller waits for it.
    virtual void on_attempt_cancelled(core::generation_id id, const core::target_name& target) = 0;

    /// Raises an event of the generation after a delay.
    virtual void start_timer(core::generation_id id, generation_event event,
                             core::duration delay) = 0;
    virtual void stop_timer(core::generation_id id, generation_event event) = 0;

    /// @return the policy that sets the time limits of attempts
    [[nodiscard]] virtual const timeout_policy& timeouts() const = 0;

    /// @return the policy that determines which tokens the next attempt continues from
    [[nodiscard]] virtual const resume_policy& resumes() const = 0;
};

/// One generation: its journal, its current attempt and its waiting callers. The chart `generation`
/// determines the transitions; this class implements its guards and actions. Owned by the
/// generation manager.
class generation final : private chart::machine_host {
  public:
    generation(generation_plan plan, const generation_settings& settings,
               std::shared_ptr<const chart::chart> definition, generation_host& host,
               core::instant now);

    /// Enters the initial state. Called once.
    void start();

    /// Adds a caller, which receives the tokens after those that it already has.
    void attach(const api::generation_request& request);

    /// Removes a caller. When the last one has left, the generation is cancelled; with a request
    /// key, only after `caller_reconnect_limit`.
    void detach(core::caller_id caller);

    /// Opens an attempt at the chosen target.
    void on_target_chosen(const model::target& target);

    void on_tokens(const api::attempt_tokens& tokens);
    void on_finished(const api::attempt_finished& finished);
    void on_lost(const api::attempt_lost& lost);
    void on_alive(const api::attempt_alive& alive);

    /// Admission has refused the waiting generation after all. Called before any attempt.
    /// @param reason the error that callers receive
    void on_refused(const core::failure& reason);

    /// More tokens are held by a peer and may be delivered.
    void on_released();

    /// Another instance has taken the generation over.
    void on_superseded();

    /// The request is quarantined because it crashes targets.
    void on_quarantined();

    void on_timer(generation_event event);

    [[nodiscard]] const generation_plan& plan() const { return plan_; }
    [[nodiscard]] bool is_over() const { return machine_.is_final(); }
    [[nodiscard]] bool is_seeking() const { return machine_.is_in("seeking"); }
    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }
    [[nodiscard]] const journal& tokens() const { return journal_; }
    [[nodiscard]] const std::set<core::target_name>& lost_targets() const { return lost_targets_; }
    [[nodiscard]] bool has_caller() const { return !callers_.empty(); }

    /// @return the time by which the complete answer is due, which orders resumed generations
    [[nodiscard]] core::instant deadline() const { return deadline_; }

    /// @return true if the open or last attempt has produced a token
    [[nodiscard]] bool attempt_has_token() const { return journal_.size() > attempt_start_; }

    /// @return how many words the engine of the open attempt had to read
    [[nodiscard]] std::uint64_t prompt_words() const { return prompt_words_; }

    /// Adds tokens from another instance's checkpoint to the journal. Called before start().
    void restore_tokens(const std::vector<std::string>& tokens);

    /// Completes the generation if the restored tokens are the complete answer. Called after
    /// start().
    /// @param finished true if the answer ended with these tokens
    void finish_restore(bool finished);

  private:
    struct waiting_caller {
        api::generation_request request;
        /// Position of the next token to deliver.
        std::uint64_t next;
    };

    const generation_plan plan_;
    const generation_settings& settings_;
    generation_host& host_;
    chart::machine machine_;
    journal journal_;
    std::list<waiting_caller> callers_;
    core::attempt_number attempt_;
    std::optional<core::target_name> target_;
    std::set<core::target_name> lost_targets_;
    const model::target* chosen_target_ = nullptr;
    const api::attempt_tokens* incoming_tokens_ = nullptr;
    std::uint64_t attempt_start_ = 0;
    std::uint64_t prompt_words_ = 0;
    core::instant deadline_;
    std::string last_loss_detail_;
    loss_cause last_loss_cause_ = loss_cause::unresponsive;
    std::optional<core::failure> failure_;
    std::optional<core::failure> refusal_;

    void raise(generation_event event);
    [[nodiscard]] bool is_current(const api::attempt_id& attempt) const;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;

    [[nodiscard]] core::duration limit_of(generation_timeout timeout) const;
    void open_attempt();
    [[nodiscard]] bool all_released() const;
    void append_tokens();
    void note_loss();
    void note_finish();
    void deliver();
    void deliver_to(waiting_caller& caller, std::uint64_t end);
    void finish(waiting_caller& caller);
    void finish_if_released();
    void finish_callers();
    void hand_over_callers();
    void fail_callers(core::error_kind kind, std::string_view problem, std::string_view remedy);
    void fail_callers(const core::failure& reason);
};

} // namespace cyclamen::generation
