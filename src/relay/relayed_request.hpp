#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/cell.hpp"
#include "limits/engine_admission.hpp"
#include "limits/start_policy.hpp"
#include "relay/call_turn.hpp"
#include "relay/crash_review.hpp"
#include "relay/messages.hpp"
#include "relay/placement.hpp"
#include "relay/relay_settings.hpp"
#include "relay/request_chart.hpp"
#include "relay/run_protection.hpp"
#include "relay/silence_policy.hpp"
#include "routing/pace_source.hpp"
#include "routing/stream_pace.hpp"

namespace cyclamen::relay {

/// Properties of a request that are fixed when it is accepted.
struct request_plan {
    const request_number number;
    const submission submitted;
    const route matched_route;
    const core::service_name service;
    const std::optional<engine_traits> engine;
    const core::account_name account;
    const core::instant accepted;
    /// What may make a target crash.
    const request_traits traits;
    /// The request is quarantined and runs once, to find out whether its traits crash targets.
    const bool is_trial = false;
    /// Order in which it is served; empty if requests of the service don't differ.
    const std::optional<limits::urgency_rank> urgency = {};

    bool operator==(const request_plan&) const = default;
};

/// Callbacks of relayed_request, implemented by its owner. Called on the decision task.
class request_host {
  public:
    virtual ~request_host() = default;

    /// @return the targets for the request, empty if there is none
    virtual std::optional<placement> place(const placement_query& query) = 0;

    /// @return another target for copies of the request's memory, empty if there is none
    virtual std::optional<target_record> find_standby(const placement_query& query,
                                                      const target_record& target) = 0;

    /// Copies are sent to another standby from now on.
    virtual void on_standby_changed(const std::optional<target_record>& from,
                                    const target_record& to) = 0;

    /// @return the candidates to ask for their load before place()
    virtual std::vector<target_record> survey(const placement_query& query) = 0;

    /// @return time until a target of the service wants requests again, empty unless all that could
    ///         be chosen have asked for none
    virtual std::optional<core::duration> time_to_return(const core::service_name& service) = 0;

    /// @param target an engine
    /// @param load what it reported
    /// @return its load, including the work that this instance has on it
    [[nodiscard]] virtual limits::engine_load load_of(const request_plan& plan,
                                                      const core::target_name& target,
                                                      const reported_load& load) const = 0;

    /// @param plan a request that no target has received
    /// @param load the engine that was selected for it
    /// @return whether it starts there
    virtual limits::start_decision admit(const request_plan& plan,
                                         const limits::engine_load& load) = 0;

    /// @param plan a request that admit() let wait
    /// @return whether it may ask engines
    [[nodiscard]] virtual limits::waiting_state
    waiting_state_of(const request_plan& plan) const = 0;

    /// A request that admit() let wait is refused.
    /// @return delay for its caller
    virtual core::duration end_waiting(const request_plan& plan) = 0;

    /// An attempt of the request is opened; it no longer waits.
    virtual void on_placed(const request_plan& plan) = 0;

    /// @return true if an engine has room for a copy of the request's memory
    virtual bool has_room_for_copy(const request_plan& plan, const limits::engine_load& load) = 0;

    /// @param plan a call to a plain service
    /// @param query what it requires of a target
    /// @return whether it is sent now, empty if no suitable target is listed
    virtual std::optional<call_turn> turn_of(const request_plan& plan,
                                             const placement_query& query) = 0;

    /// A target was full and has not run the request.
    virtual void on_rejected(const request_plan& plan, const core::target_name& target) = 0;

    /// @return true if the retry budget of the service allows one more attempt
    virtual bool may_retry(const core::service_name& service) = 0;

    /// Counts an attempt beyond the first one of a request.
    virtual void count_retry(const core::service_name& service) = 0;

    virtual void send(entry_command command) = 0;
    virtual void send(target_command command) = 0;

    virtual void on_opened(const placement& placed, std::uint64_t prompt_tokens) = 0;
    virtual void on_first_event(const core::target_name& target, std::uint64_t prompt_tokens) = 0;
    virtual void on_closed(const placement& placed, std::uint64_t unread_tokens) = 0;

    /// An engine has sent the first event of a new request.
    /// @param load the engine when it received the request
    /// @param took time since then
    virtual void on_started(const request_plan& plan, const limits::engine_load& load,
                            core::duration took) = 0;
    /// A stream is complete.
    /// @param run_time time since its first event
    virtual void on_run_finished(const request_plan& plan, core::duration run_time) = 0;
    /// A target has taken some time for a piece of work.
    virtual void on_pace(const routing::pace_observation& seen) = 0;

    /// The caller received its response, or the first event of a stream.
    /// @param waited time since the request was accepted
    virtual void on_answered(const request_plan& plan, core::duration waited) = 0;
    /// The request has ended.
    virtual void on_ended(const request_plan& plan, std::string_view outcome) = 0;
    /// An attempt was rejected or failed.
    virtual void on_attempt_ended(const request_plan& plan, std::string_view event) = 0;

    /// @return which versions the next attempt may be sent to, empty if any will do
    /// @param is_first true if the request asks for the first time
    virtual std::optional<version_rule> version_rule_for(const request_plan& plan,
                                                         bool is_first) = 0;
    /// The target of an attempt has begun to answer, has failed or is too slow.
    /// @param waited time since the attempt was opened
    virtual void on_attempt_outcome(const request_plan& plan, const target_record& target,
                                    core::duration waited, bool failed) = 0;

    /// @return how long the request remains quarantined, empty if it may run
    [[nodiscard]] virtual std::optional<core::duration> quarantine_of(const request_plan& plan) = 0;
    /// An attempt was lost before or right after its target began to answer it.
    virtual void on_suspicious_loss(const request_plan& plan, core::attempt_number attempt,
                                    const target_record& target, attempt_stage stage) = 0;
    /// A target answered the request, completely or for a while, without a crash.
    virtual void on_survived(const request_plan& plan) = 0;

    /// @return how the silence of targets is judged
    [[nodiscard]] virtual const silence_policy& silences() const = 0;

    /// A target lost an attempt or didn't respond.
    virtual void on_loss(const core::target_name& target) = 0;
    virtual void on_success(const core::target_name& target) = 0;
    /// Another target, or a new incarnation of the target, answers at the address.
    virtual void on_misdirected(const target_record& listed) = 0;
};

/// One caller's request, from acceptance to its final response. Runs the chart `relayed_request`.
class relayed_request final : private chart::machine_host, private protection_host {
  public:
    /// @param plan fixed properties of the request
    /// @param settings timeouts and limits; must outlive this object
    /// @param definition the chart
    /// @param protection the chart `run_protection`
    /// @param host callbacks; must outlive this object
    relayed_request(request_plan plan, const request_settings& settings,
                    std::shared_ptr<const chart::chart> definition,
                    std::shared_ptr<const chart::chart> protection, request_host& host);

    void start(core::instant now);

    void on_caller_gone(core::instant now);
    /// The instance stops: the request ends as if its time were up.
    void on_shutdown(core::instant now);
    void on(const stream_begun& report, core::instant now);
    void on(const stream_events& report, core::instant now);
    void on(const stream_finished& report, core::instant now);
    void on(const attempt_answered& answer, core::instant now);
    void on(const attempt_rejected& rejection, core::instant now);
    void on(const attempt_lost& loss, core::instant now);
    void on(const target_reached& report, core::instant now);
    void on(const target_answered& answer, core::instant now);
    void on(const run_copied& result, core::instant now);

    /// A target is gone or leaving; a standby copy there is lost.
    void on_target_ending(const core::target_name& target, core::instant now);

    /// Counts the current attempt as failed if a target of that version has not begun to answer it
    /// within the limit.
    void check_slow(const core::version_name& version, core::duration limit, core::instant now);

    /// Raises the events of timers that expired before `heard_until`.
    /// @param heard_until all reports that arrived before this instant were handled
    void on_timer(core::instant now, core::instant heard_until);

    /// @return when on_timer() must be called next, empty if no timer runs
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return true if the caller has its response or has disconnected
    [[nodiscard]] bool is_closed() const { return machine_.is_final(); }

    [[nodiscard]] const request_plan& plan() const { return plan_; }

    /// @return true if that attempt is in progress; messages about any other are out of date
    [[nodiscard]] bool is_current_attempt(core::attempt_number attempt) const
    {
        return placed_.has_value() && attempt_ == attempt;
    }

  private:
    const request_plan plan_;
    const request_settings& settings_;
    chart::machine machine_;
    const std::shared_ptr<const chart::chart> protection_chart_;
    request_host& host_;
    core::instant now_;
    chart::timer_set timers_;
    /// Raised after the current event, since actions may not raise events themselves.
    std::optional<request_event> follow_up_;

    core::attempt_number attempt_;
    std::optional<core::cell<placement>> placed_;
    /// Targets that were asked for their load and have not answered yet.
    std::map<core::target_name, target_record> pending_candidates_;
    /// Number of targets that the current survey has asked.
    std::size_t asked_ = 0;
    /// Surveys that no target answered in time.
    std::uint32_t unanswered_surveys_ = 0;
    std::map<core::target_name, reported_load> loads_;
    /// The engine of the current attempt when it received the request, if that is new work there.
    std::optional<core::cell<limits::engine_load>> start_load_;
    /// Delay for the caller if the request is refused for lack of room.
    core::duration overload_retry_after_{};
    /// When a call that waits for its turn asks again.
    core::instant turn_at_;
    std::optional<core::instant> first_event_at_;
    /// Time per event of the current attempt.
    routing::stream_pace stream_pace_;
    std::set<core::target_name> tried_;
    std::optional<core::failure_domain_name> lost_domain_;
    /// Set only while a stream with a standby is in progress.
    std::unique_ptr<run_protection> protection_;
    std::optional<core::target_name> copy_holder_;
    std::optional<core::cell<run_copy>> copy_;
    std::uint32_t offers_ = 0;
    std::uint32_t rejections_ = 0;
    std::uint32_t runs_ = 0;
    bool may_have_run_ = false;
    bool attempt_sent_ = false;
    bool attempt_has_events_ = false;
    std::optional<core::instant> attempt_first_event_at_;
    /// When the target of the current attempt began to answer.
    std::optional<core::instant> begun_at_;
    bool survived_ = false;
    core::instant attempt_opened_at_;
    /// When the target of the current attempt was asked last.
    core::instant asked_at_;
    /// The outcome of the current attempt was reported.
    bool outcome_reported_ = false;
    std::optional<core::cell<version_rule>> rule_;
    bool rule_known_ = false;
    bool answer_begun_ = false;
    std::optional<std::string> last_event_;
    std::optional<core::cell<answer_head>> head_;
    std::string pending_events_;
    std::optional<core::cell<attempt_answered>> received_answer_;
    std::string loss_detail_;

    void raise(request_event event, core::instant now);
    [[nodiscard]] bool is_idempotent() const;
    [[nodiscard]] core::instant answer_deadline() const;
    [[nodiscard]] core::duration timeout_duration(request_timeout timeout) const;
    void release_attempt();
    void note_progress();
    void note_survived();
    void report_outcome(bool failed);
    /// @return how far the current attempt came that was lost, empty if the target can't have
    ///         crashed because of it
    [[nodiscard]] std::optional<attempt_stage> suspicious_stage() const;
    [[nodiscard]] bool is_quarantined() const;
    void refuse_quarantined();
    void refuse_held();
    [[nodiscard]] request_event missing_target_event();
    /// @return what the answer of the current target, which was silent, means for the attempt
    [[nodiscard]] request_event interpret(const target_answered& answer) const;
    void record_attempt_end(std::string_view event);
    void record_mute_target() const;
    void record_answering_target(const silence_evidence& evidence) const;
    /// Logs what kept the request from going on.
    void record_abandonment() const;
    void refuse(core::error_kind kind, std::string_view problem, bool not_run,
                core::duration retry_after);
    void finish(std::string_view outcome);

    [[nodiscard]] placement_query make_query() const;
    void seek_target();
    void ask_candidates();
    void note_failed_survey();
    void weigh_candidates();
    [[nodiscard]] request_event admit_candidate(const placement& found);
    /// @return the standby, empty if the engines that were asked are all short of memory
    [[nodiscard]] std::optional<target_record> fitting_standby(const placement& found) const;
    [[nodiscard]] bool is_new_work() const;
    /// @return true if the request could be sent to another target than the current one
    [[nodiscard]] bool has_other_target() const;
    [[nodiscard]] request_event take_turn();
    void refuse_overloaded();
    void refuse_waiting();
    [[nodiscard]] std::string urgency_text() const;
    void refuse_without_share();
    void start_attempt();
    void begin_answer();
    void deliver_events();
    void note_started();
    /// Reports how long the current target took for a piece of work.
    void report_pace(routing::pace_kind kind, std::uint32_t running, double seconds);
    void note_reading_pace();
    void note_stream_pace(std::uint32_t events);
    void note_answer_pace(int status);
    void finish_answer();
    void deliver_answer();

    bool seek_standby() override;
    void copy_run() override;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::relay
