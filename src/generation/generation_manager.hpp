#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "api/caller_messages.hpp"
#include "api/engine_messages.hpp"
#include "generation/adaptive_timeout_policy.hpp"
#include "generation/checkpoint_service.hpp"
#include "generation/follower_set.hpp"
#include "generation/generation.hpp"
#include "generation/outcome_reporter.hpp"
#include "generation/placement_queue.hpp"
#include "generation/poison_detector.hpp"
#include "generation/timer_queue.hpp"
#include "generation/version_chooser.hpp"
#include "limits/naive_admission.hpp"
#include "model/configuration.hpp"
#include "routing/target_chooser.hpp"

namespace cyclamen::generation {

/// Sends the manager's messages. Called on the decision task.
class generation_output {
  public:
    virtual ~generation_output() = default;
    virtual void send(api::engine_command command) = 0;
    virtual void send(api::front_command command) = 0;
};

/// Policies of a generation manager.
struct generation_policies {
    std::unique_ptr<timeout_policy> timeouts;
    std::unique_ptr<resume_policy> resumes;
};

/// All generations of one instance. Opens no socket and reads no clock: the decision task passes
/// messages together with the current instant and calls on_timer() at next_deadline().
class generation_manager final : private generation_host,
                                 private checkpoint_listener,
                                 private follower_host {
  public:
    /// @param settings time limits and bounds
    /// @param definition the chart `generation`
    /// @param chooser selects the target of each attempt; outlives the manager
    /// @param output sends messages to engines and callers; outlives the manager
    /// @param policies timeout and resume policies; a null member selects the default policy
    generation_manager(generation_settings settings, std::shared_ptr<const chart::chart> definition,
                       routing::target_chooser& chooser, generation_output& output,
                       generation_policies policies = {});

    /// Applies a new configuration.
    void configure(model::configuration_ptr configuration);

    /// Adds a listener for the outcomes of attempts; it outlives the manager.
    void add_listener(outcome_listener& listener) { outcomes_.add(listener); }

    /// Enables checkpoints, with which generations that have a request key survive this instance.
    /// Called before the first request.
    /// @param checkpoints keeps copies at peers; outlives the manager
    /// @param origin name of this incarnation of the instance, unique among all incarnations
    void use_checkpoints(checkpoint_service& checkpoints, std::string origin);

    /// Sets the policy that admits new generations; it outlives the manager.
    void use_admission(limits::admission_policy& admission) { admission_ = &admission; }

    /// Sets the function that notifies other instances of a quarantined request; what it refers to
    /// outlives the manager.
    void set_quarantine_announcer(std::function<void(const api::quarantine_notice&)> announce)
    {
        announce_quarantine_ = std::move(announce);
    }

    /// Quarantines a request that another instance has found to crash targets.
    void on_quarantine_notice(const api::quarantine_notice& notice, core::instant now);

    /// Sets the chooser of the version of new generations; it outlives the manager.
    void use_version_chooser(version_chooser& versions) { versions_ = &versions; }

    void on_request(const api::generation_request& request, core::instant now);
    void on_caller_gone(core::caller_id caller, core::instant now);
    void on_engine_event(const api::engine_event& event, core::instant now);

    /// Fires expired timers and retries the placement of waiting generations.
    void on_timer(core::instant now);

    /// @return when on_timer() is to be called next, empty if nothing is scheduled
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return how many generations are unfinished
    [[nodiscard]] std::size_t live_count() const { return live_count_; }

  private:
    using account_key = std::pair<core::account_name, core::request_key>;

    const generation_settings settings_;
    std::shared_ptr<const chart::chart> definition_;
    routing::target_chooser& chooser_;
    generation_output& output_;
    declared_version_chooser declared_versions_;
    version_chooser* versions_ = &declared_versions_;
    limits::naive_admission admit_all_;
    limits::admission_policy* admission_ = &admit_all_;
    std::unique_ptr<timeout_policy> timeouts_;
    std::unique_ptr<resume_policy> resume_policy_;
    outcome_reporter outcomes_;
    model::configuration_ptr configuration_;
    std::map<core::generation_id, std::unique_ptr<generation>> generations_;
    std::map<account_key, core::generation_id> by_key_;
    std::map<core::caller_id, core::generation_id> by_caller_;
    timer_queue timers_;
    std::set<std::pair<core::instant, core::generation_id>> forget_at_;
    std::set<core::generation_id> retired_;
    placement_queue placement_queue_;
    checkpoint_service* checkpoints_ = nullptr;
    std::string origin_;
    poison_detector poison_;
    std::function<void(const api::quarantine_notice&)> announce_quarantine_;
    /// Targets that currently run a request suspected of crashing targets.
    std::map<core::generation_id, core::target_name> suspect_targets_;
    /// Reported losses that will be excused if the request turns out to crash targets.
    std::map<fingerprint, std::vector<attempt_subject>> suspect_losses_;
    follower_set followers_;
    core::generation_id last_id_;
    /// The generation last offered to admission; it isn't queued for placement until admission
    /// starts it.
    core::generation_id offered_id_;
    std::size_t live_count_ = 0;
    core::instant now_{};

    void seek_target(core::generation_id id) override;
    void send(api::engine_command command) override { output_.send(std::move(command)); }
    void send(api::front_command command) override;
    void on_attempt_tokens(core::generation_id id, std::uint64_t first,
                           const std::vector<std::string>& tokens) override;
    void on_tokens_forgotten(core::generation_id id, std::uint64_t kept) override;
    [[nodiscard]] std::uint64_t released_tokens(core::generation_id id,
                                                std::uint64_t held) const override;
    void release_all(core::generation_id id) override;
    [[nodiscard]] const timeout_policy& timeouts() const override { return *timeouts_; }
    [[nodiscard]] const resume_policy& resumes() const override { return *resume_policy_; }
    void on_attempt_finished(core::generation_id id, const core::target_name& target) override;
    void on_attempt_lost(core::generation_id id, const core::target_name& target,
                         loss_cause cause) override;
    void on_attempt_cancelled(core::generation_id id, const core::target_name& target) override;
    void start_timer(core::generation_id id, generation_event event, core::duration delay) override;
    void stop_timer(core::generation_id id, generation_event event) override;

    void on_released(core::generation_id id) override;
    void on_superseded(core::generation_id id) override;
    void on_search_ended(const api::checkpoint_key& key,
                         const std::optional<found_checkpoint>& found) override;

    void find_checkpoint(const api::checkpoint_key& key, const caller_position& position) override;
    void admit(const api::generation_request& request,
               const std::optional<found_checkpoint>& found) override;
    void refuse(core::caller_id caller, const absl::Status& status) override;
    void hand_over(const api::generation_request& request) override;
    [[nodiscard]] generation* find_by_key(const account_key& key);
    void join(generation& existing, const api::generation_request& request);
    void start_generation(const api::generation_request& request,
                          const model::client_account& account, const model::service& service,
                          const std::optional<found_checkpoint>& found);
    void open_checkpoint(const generation& created, const std::optional<found_checkpoint>& found);
    [[nodiscard]] generation* find(core::generation_id id);
    /// @return true if admission refused the request; its caller has received the error
    bool refuse_by_admission(const api::generation_request& request,
                             const model::client_account& account);
    void start_admitted();
    void place_waiting();
    bool place(core::generation_id id);
    void retire_if_over(generation& changed);
    void apply_quarantines();
    void end_quarantined(fingerprint request);
    [[nodiscard]] std::set<core::target_name> targets_to_avoid(const generation& seeking) const;
    void fire_timers();
    void forget_finished();
};

} // namespace cyclamen::generation
