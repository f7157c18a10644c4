#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "chart/machine.hpp"
#include "chart/timer_set.hpp"
#include "core/cell.hpp"
#include "relay/rollout_records.hpp"

namespace cyclamen::relay {

/// Events of the chart `version_rollout`, in the order of rollout_vocabulary().
enum class rollout_event : chart::symbol {
    reviewed,
    write_due,
    rolled_back,
    completed,
    order_renewed,
};

/// Guards of the chart `version_rollout`.
enum class rollout_guard : chart::symbol { is_bad, is_overdue, may_move, may_complete };

/// Actions of the chart `version_rollout`.
enum class rollout_action : chart::symbol {
    note_verdict,
    write_rolled_back,
    write_completed,
    note_outcome,
};

/// Timeouts of the chart `version_rollout`.
enum class rollout_timeout : chart::symbol { write_delay, write_pause };

/// @return the names that the code binds to the chart `version_rollout`
[[nodiscard]] const chart::vocabulary& rollout_vocabulary();

/// Limits of rollouts.
struct rollout_settings {
    /// Bound on the requests of the service that a bad version may get: a fraction of all, and a
    /// number beyond it, over all instances.
    const double exposure_ratio = 0.1;
    const double exposure_slack = 50;
    /// Fractions of both that are used; the rest is for requests that instances expose at the same
    /// time.
    const double used_ratio = 0.5;
    const double used_slack = 0.3;
    /// Share of bad requests of a good version at least, and of a bad one.
    const double good_bad_share = 0.08;
    const double bad_bad_share = 0.35;
    /// Logarithms of the likelihood ratio at which a version is taken as bad, and as good.
    const double bad_evidence = 3.9;
    const double good_evidence = -2.0;
    /// Time before the deadline at which all new requests go to a good version.
    const core::duration move_time = std::chrono::milliseconds{3500};
    /// Time before the deadline at which the outcome is written.
    const core::duration write_time = std::chrono::milliseconds{1500};
    /// Interval between two reviews of the evidence.
    const core::duration review_interval = std::chrono::milliseconds{200};
    /// Delay of an instance's write behind the one before it in the list of instances.
    const core::duration write_step = std::chrono::milliseconds{150};
    const std::size_t max_write_steps = 10;
    const core::duration write_pause = std::chrono::seconds{2};

    auto operator<=>(const rollout_settings&) const = default;
};

/// Callbacks of version_rollout, implemented by its owner. Called on the decision task.
class rollout_host {
  public:
    virtual ~rollout_host() = default;

    /// @return position of this instance in the list of instances, and their number
    [[nodiscard]] virtual std::pair<std::size_t, std::size_t> position() const = 0;

    /// @return true if a target of the new version is listed
    [[nodiscard]] virtual bool has_target(const rollout_order& order) const = 0;

    /// Writes the outcome to the store, unless another instance has written it.
    virtual void write_outcome(const rollout_order& order, bool completed) = 0;

    /// Tells the other instances what this one has seen.
    virtual void write_evidence(const rollout_evidence& evidence) = 0;
};

/// One rollout as seen by one instance; runs the chart `version_rollout`. A few requests of each
/// instance go to the new version. All instances add up what they have seen, so that they come to
/// the same verdict soon after each other, and any of them may write it.
class version_rollout final : private chart::machine_host {
  public:
    /// @param order the operator's order
    /// @param self name of this instance
    /// @param settings limits; must outlive this object
    /// @param definition the chart
    /// @param host callbacks; must outlive this object
    /// @param now current instant, from which the order's time limit counts
    version_rollout(rollout_order order, core::instance_name self, const rollout_settings& settings,
                    std::shared_ptr<const chart::chart> definition, rollout_host& host,
                    core::instant now);

    [[nodiscard]] const rollout_order& order() const { return order_.get(); }

    /// Takes the same order from a store that was restored from a copy. What the store had of the
    /// rollout may be lost, so it is written again.
    void renew(const rollout_order& order, core::instant now);

    /// Takes an outcome from the store. Outcomes of other orders are ignored.
    void on_outcome(const rollout_outcome& outcome, core::instant now);

    /// Takes what another instance has seen.
    void on_evidence(const rollout_evidence& evidence, core::instant now);

    /// Counts a request of the service and decides which version its next attempt is sent to.
    /// @param is_first true for the first attempt of a request
    /// @return the rule, empty if any version will do
    [[nodiscard]] std::optional<version_rule> admit(bool is_first, core::instant now);

    /// Counts an attempt that ended, or whose answer began.
    void count(const core::version_name& version, bool good, core::instant now);

    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

  private:
    core::cell<rollout_order> order_;
    const core::instance_name self_;
    const rollout_settings& settings_;
    chart::machine machine_;
    rollout_host& host_;
    const core::instant ordered_at_;
    core::instant now_;
    chart::timer_set timers_;
    std::optional<core::instant> review_at_;
    double requests_ = 0;
    double exposed_ = 0;
    bool exposed_last_ = false;
    core::cell<version_counts> own_{version_counts{}};
    /// The store has not listed what this instance has seen of the new version.
    bool own_unlisted_ = false;
    std::map<core::instance_name, version_counts> others_;

    void raise(rollout_event event);
    void review();
    [[nodiscard]] bool may_expose() const;
    [[nodiscard]] version_counts total() const;
    /// @return logarithm of how much likelier the evidence is for a bad version than for a good one
    [[nodiscard]] double evidence() const;
    [[nodiscard]] core::duration time_left() const;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::relay
