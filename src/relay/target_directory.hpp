#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "chart/library.hpp"
#include "core/cell.hpp"
#include "relay/member.hpp"
#include "relay/messages.hpp"
#include "relay/placement.hpp"
#include "relay/relay_settings.hpp"
#include "relay/target_chooser.hpp"
#include "routing/pace_source.hpp"
#include "routing/target_health.hpp"

namespace cyclamen::relay {

/// The listed targets, their health and the work that this instance has on them. Used by the relay
/// manager on the decision task.
class target_directory final : private routing::ejection_budget {
  public:
    /// @param settings settings of the instance
    /// @param health the chart `target_health`
    /// @param chooser strategy that selects among equally healthy targets
    /// @param paces how fast targets are; must outlive this object
    target_directory(const relay_settings& settings, std::shared_ptr<const chart::chart> health,
                     std::unique_ptr<target_chooser> chooser, const routing::pace_source& paces);
    ~target_directory() override;
    target_directory(const target_directory&) = delete;
    target_directory& operator=(const target_directory&) = delete;

    /// Applies changes of the list of targets.
    void on_targets(const targets_listed& listed, core::instant now);

    /// Applies the list of instances, which determines the ring position of this instance.
    void on_members(const std::vector<member>& members);

    /// @return the targets for the request, empty if no suitable target is listed
    [[nodiscard]] std::optional<placement> choose(const placement_query& wanted, core::instant now);

    /// @return the candidates to ask for their load, in more than one failure domain if possible;
    ///         empty if no target is listed
    [[nodiscard]] std::vector<target_record> survey(const placement_query& wanted,
                                                    core::instant now);

    /// @return a target in another failure domain that can receive a copy of a request's memory,
    ///         empty if there is none
    [[nodiscard]] std::optional<target_record>
    find_standby(const placement_query& query, const target_record& target, core::instant now);

    /// @return the targets that went away or started to leave since the last call
    [[nodiscard]] std::vector<core::target_name> take_ending_targets();

    /// Adds an attempt to the work of its target and standby.
    void on_opened(const placement& placed, std::uint64_t prompt_tokens);
    /// Removes a prompt that a target has processed from its unread tokens.
    void on_first_event(const core::target_name& target, std::uint64_t prompt_tokens);
    /// Moves the copies of a request to another standby.
    void on_standby_changed(const std::optional<target_record>& from, const target_record& to);
    /// Removes an attempt from the work of its target and standby.
    /// @param unread_tokens prompt tokens that the target had not processed
    void on_closed(const placement& placed, std::uint64_t unread_tokens);

    /// A target has said that it is leaving, or that it wants no request for a while.
    void on_notice(const target_notice& notice, core::instant now);

    /// @return when the first target of the service that wants no requests wants some again; empty
    ///         if a target may be chosen now, or if none is listed
    [[nodiscard]] std::optional<core::instant> earliest_return(const core::service_name& service,
                                                               core::instant now);

    void on_loss(const core::target_name& target, core::instant now);
    void on_success(const core::target_name& target, core::instant now);

    /// Removes a target whose address now belongs to another one, even if it is still listed.
    void on_misdirected(const core::target_name& target);

    /// @return true if a target of that version is listed and not leaving
    [[nodiscard]] bool has_target(const core::service_name& service,
                                  const core::version_name& version) const;

    /// @return true if that incarnation of a target is listed and not leaving
    [[nodiscard]] bool is_serving(const target_record& target, core::instant now);

    /// @return expected time factor of a target, 1 if it is not listed
    [[nodiscard]] double pace_of(const core::target_name& target, core::instant now) const;

    /// @return the listed targets of a service that are not leaving
    [[nodiscard]] std::vector<target_record>
    serving_targets(const core::service_name& service) const;

    /// @return the work that this instance has on a target; none if it is not listed
    [[nodiscard]] local_work work_on(const core::target_name& target) const;

    [[nodiscard]] std::size_t size() const { return targets_.size(); }

  private:
    struct known_target {
        core::cell<target_record> record;
        std::unique_ptr<routing::target_health> health;
        local_work work;
        /// Position on the ring of the service's targets, 0 to 1.
        double ring_position = 0.0;
        /// Until then the target wants no requests.
        core::instant held_until{};
    };

    const relay_settings settings_;
    std::shared_ptr<const chart::chart> health_chart_;
    std::unique_ptr<target_chooser> chooser_;
    const routing::pace_source& paces_;
    /// Time of the last loss of each target of a service in one failure domain.
    using loss_times = std::map<core::target_name, core::instant>;

    std::map<core::target_name, known_target> targets_;
    std::map<std::pair<core::service_name, core::failure_domain_name>, loss_times> losses_;
    std::vector<core::target_name> ending_targets_;
    /// Incarnations that have said that they are leaving, by name, and the order in which they did.
    /// They may be listed as ready again by an older record.
    std::map<core::target_name, core::wall_time> left_;
    std::deque<core::target_name> left_order_;
    /// Position of this instance on the ring of instances, 0 to 1.
    double own_ring_position_ = 0.0;
    std::size_t ejected_ = 0;

    [[nodiscard]] bool can_eject_another() const override;
    void on_ejection_changed(bool ejected) override;

    void add(const target_record& record, core::instant now);
    [[nodiscard]] static bool is_held(const known_target& known, core::instant now)
    {
        return now < known.held_until;
    }
    void note_left(const target_record& record);
    void assign_ring_positions();
    [[nodiscard]] double distance_to(const known_target& target) const;
    [[nodiscard]] std::vector<const known_target*>
    best_group(const placement_query& query, const core::failure_domain_name* excluded_domain,
               core::instant now);
    [[nodiscard]] std::vector<candidate>
    make_candidates(const std::vector<const known_target*>& targets, const placement_query& query,
                    core::instant now) const;
    /// @return the query without its rule on versions if no target of the required one is listed
    [[nodiscard]] placement_query available_query(const placement_query& query) const;
    [[nodiscard]] const known_target* pick_target(const placement_query& query,
                                                  const core::failure_domain_name* excluded_domain,
                                                  core::instant now);
    [[nodiscard]] bool is_domain_suspect(const target_record& record, core::instant now) const;
    template <class Condition>
    [[nodiscard]] std::vector<core::target_name> names_where(Condition condition) const;
    void adjust_copies(const std::optional<target_record>& standby, int change);
    void remove(const core::target_name& target, std::string_view reason);
    known_target* find(const core::target_name& name);
};

} // namespace cyclamen::relay
