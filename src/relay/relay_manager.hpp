#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/cell.hpp"
#include "limits/engine_admission.hpp"
#include "relay/answer_baseline.hpp"
#include "relay/call_shares.hpp"
#include "relay/crash_review.hpp"
#include "relay/entry_lifecycle.hpp"
#include "relay/messages.hpp"
#include "relay/relay_charts.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/relay_settings.hpp"
#include "relay/relayed_request.hpp"
#include "relay/retry_budget.hpp"
#include "relay/target_directory.hpp"
#include "relay/version_rollout.hpp"
#include "routing/learnt_pace.hpp"

namespace cyclamen::relay {

/// Callbacks of relay_manager, implemented by its owner. Called on the decision task.
class relay_host {
  public:
    virtual ~relay_host() = default;

    virtual void send(entry_command command) = 0;
    virtual void send(target_command command) = 0;
    virtual void send(store_command command) = 0;

    /// The process may exit.
    /// @param work_cut true if requests were still open
    virtual void end_process(bool work_cut) = 0;
};

/// Owns the requests of an instance and its state of configuration, targets and instances.
/// Opens no socket and reads no clock.
class relay_manager final : private request_host,
                            private entry_lifecycle_host,
                            private rollout_host {
  public:
    /// @param settings settings of the instance
    /// @param charts the charts
    /// @param chooser strategy that selects targets
    /// @param make_start_policy makes the policy by which requests start on a service's engines
    /// @param silence decides why attempts receive nothing
    /// @param host callbacks; must outlive this object
    /// @param paces learns how fast targets are
    relay_manager(
        const relay_settings& settings, const relay_charts& charts,
        std::unique_ptr<target_chooser> chooser,
        limits::engine_admission::policy_factory make_start_policy,
        std::unique_ptr<silence_policy> silence, relay_host& host,
        std::unique_ptr<routing::pace_source> paces = std::make_unique<routing::learnt_pace>());
    ~relay_manager() override;
    relay_manager(const relay_manager&) = delete;
    relay_manager& operator=(const relay_manager&) = delete;

    void start(core::instant now);
    void handle(const relay_message& message, core::instant now);

    /// Raises the events of expired timers; those of requests only if they expired before
    /// `heard_until`.
    /// @param heard_until all reports of targets that arrived before this instant were handled
    void on_timer(core::instant now, core::instant heard_until);

    /// @return when on_timer() must be called next, empty if no timer runs
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }

  private:
    const relay_settings settings_;
    const relay_charts charts_;
    relay_host& host_;
    const std::unique_ptr<routing::pace_source> paces_;
    /// When observed paces were last passed on to other instances.
    core::instant paces_shared_at_{};
    target_directory targets_;
    retry_budget budget_;
    limits::engine_admission admission_;
    call_shares shares_;
    const std::unique_ptr<silence_policy> silence_;
    relay_metrics metrics_;
    entry_lifecycle lifecycle_;
    /// Callers' connections have requests or answers on their way; known only while leaving.
    bool entry_busy_ = false;
    core::instant now_;
    route_table_ptr table_;
    std::optional<core::cell<configuration_confirmed>> confirmation_;
    member_registry members_;
    crash_review crash_review_;
    crash_evidence crashes_;
    /// Rollouts that the operator has ordered, by service, and what the store has of them.
    std::map<core::service_name, std::unique_ptr<version_rollout>> rollouts_;
    /// Rollouts that the restored store has replaced by an older order, until they are ordered
    /// again.
    std::map<core::service_name, std::unique_ptr<version_rollout>> superseded_rollouts_;
    std::map<core::service_name, rollout_outcome> rollout_outcomes_;
    std::map<core::service_name, answer_baseline> baselines_;
    std::optional<core::instant> next_watch_at_;
    std::map<request_number, std::unique_ptr<relayed_request>> requests_;
    std::map<caller_id, request_number> callers_;
    std::map<request_number, core::instant> deadlines_;
    std::set<std::pair<core::instant, request_number>> deadline_order_;
    request_number last_request_;

    void on(const submission& submitted);
    void on(const caller_gone& notice);
    void on(const entry_state& report);
    void on(const metrics_query& query);
    void on(const configuration_read& update);
    void on(const configuration_confirmed& confirmation);
    void on(const crashes_listed& update);
    void on(const crashes_restored& restored);
    /// @return true if this instance writes a record that the store has lost
    [[nodiscard]] bool reports_again(const crash_record& lost) const;
    void on(const rollouts_listed& update);
    void on(const rollout_reports_listed& update);
    void apply_order(const rollout_order& order);
    void review_rollouts();
    /// @return time after which an answer of the service counts as slow
    [[nodiscard]] core::duration slow_limit(const request_plan& plan) const;
    void on(const targets_listed& update);
    void on(const members_listed& update);
    void on(const members_restored& restored);
    /// @return true if this instance is listed as accepting requests
    [[nodiscard]] bool lists_self() const;
    void on(const instance_answered& answer);
    void watch();
    void on(const stop_requested& request);
    void on(const target_notice& notice);
    void on(const target_reached& report);
    void on(const target_answered& answer);
    void on(const paces_merged& update);
    /// Notifies requests of targets that are gone or leaving, since standby copies there are lost.
    void report_ending_targets();
    void on(const target_identified& report);
    void on(const target_checked& report);
    /// Forwards a report about an attempt to its request, unless the attempt is out of date.
    template <class Report>
    void on(const Report& report);

    /// Refuses a request that no target has received.
    void refuse(const submission& refused, core::error_kind kind, std::string_view problem,
                core::duration retry_after);
    /// @return what may make a target crash on the request
    [[nodiscard]] static request_traits traits_of(const submission& submitted,
                                                  const core::account_name& account);
    /// @return true if a quarantined request runs as a trial
    bool admit_trial(const submission& submitted, const core::service_name& service,
                     const request_traits& accused);
    void report_crashes();
    void write_crashes(const std::vector<crash_record>& records);
    void withdraw_expired_crashes();
    /// @return true if this instance is the one that does what only one of the fleet should do
    [[nodiscard]] bool is_first_member() const;
    /// @return the instance that last confirmed the configuration, for the log
    [[nodiscard]] std::string confirming_source() const;
    /// @return time since the store last confirmed the configuration in ms, -1 if it never did
    [[nodiscard]] double confirmation_age_ms() const;
    [[nodiscard]] const core::service_name& pick_service(const route& matched_route,
                                                         const submission& submitted) const;
    void check_ready();
    void publish_directory();
    void update_or_remove(request_number number);
    void reschedule(request_number number, const relayed_request& request);

    std::optional<placement> place(const placement_query& query) override;
    std::vector<target_record> survey(const placement_query& query) override;
    std::optional<target_record> find_standby(const placement_query& query,
                                              const target_record& target) override;
    void on_standby_changed(const std::optional<target_record>& from,
                            const target_record& to) override;
    [[nodiscard]] std::optional<core::duration>
    time_to_return(const core::service_name& service) override;
    [[nodiscard]] limits::engine_load load_of(const request_plan& plan,
                                              const core::target_name& target,
                                              const reported_load& load) const override;
    limits::start_decision admit(const request_plan& plan,
                                 const limits::engine_load& load) override;
    void on_arrival(const request_plan& plan);
    [[nodiscard]] limits::waiting_state waiting_state_of(const request_plan& plan) const override;
    core::duration end_waiting(const request_plan& plan) override;
    void on_placed(const request_plan& plan) override;
    bool has_room_for_copy(const request_plan& plan, const limits::engine_load& load) override;
    void on_started(const request_plan& plan, const limits::engine_load& load,
                    core::duration took) override;
    void on_run_finished(const request_plan& plan, core::duration run_time) override;
    void on_pace(const routing::pace_observation& seen) override;
    [[nodiscard]] limits::start_request start_request_of(const request_plan& plan) const;
    /// Passes the listed targets of plain services to their send policies.
    void update_shares();
    std::optional<call_turn> turn_of(const request_plan& plan,
                                     const placement_query& query) override;
    void on_rejected(const request_plan& plan, const core::target_name& target) override;
    bool may_retry(const core::service_name& service) override;
    void count_retry(const core::service_name& service) override;
    void send(entry_command command) override;
    void send(target_command command) override;
    void on_opened(const placement& placed, std::uint64_t prompt_tokens) override;
    void on_first_event(const core::target_name& target, std::uint64_t prompt_tokens) override;
    void on_closed(const placement& placed, std::uint64_t unread_tokens) override;
    void on_answered(const request_plan& plan, core::duration waited) override;
    void on_ended(const request_plan& plan, std::string_view outcome) override;
    void on_attempt_ended(const request_plan& plan, std::string_view event) override;
    std::optional<version_rule> version_rule_for(const request_plan& plan, bool is_first) override;
    void on_attempt_outcome(const request_plan& plan, const target_record& target,
                            core::duration waited, bool failed) override;
    [[nodiscard]] std::optional<core::duration> quarantine_of(const request_plan& plan) override;
    void on_suspicious_loss(const request_plan& plan, core::attempt_number attempt,
                            const target_record& target, attempt_stage stage) override;
    void on_survived(const request_plan& plan) override;
    [[nodiscard]] const silence_policy& silences() const override { return *silence_; }
    void on_loss(const core::target_name& target) override;
    void on_success(const core::target_name& target) override;
    void on_misdirected(const target_record& listed) override;

    [[nodiscard]] std::pair<std::size_t, std::size_t> position() const override;
    [[nodiscard]] bool has_target(const rollout_order& order) const override;
    void write_outcome(const rollout_order& order, bool completed) override;
    void write_evidence(const rollout_evidence& evidence) override;

    void announce(bool serving) override;
    void refuse_connections() override;
    [[nodiscard]] bool has_work() const override;
    void fail_open_requests() override;
    void end_process(bool work_cut) override;
};

} // namespace cyclamen::relay
