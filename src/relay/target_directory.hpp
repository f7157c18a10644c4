#pragma once

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
#include "routing/target_health.hpp"

namespace cyclamen::relay {

/// The targets that are listed, what this instance has open there and how they fare. Used by the
/// relay manager on the decision task.
class target_directory final : private routing::ejection_budget {
  public:
    /// @param settings settings of the instance
    /// @param health the chart `target_health`
    /// @param chooser compares targets
    target_directory(const relay_settings& settings, std::shared_ptr<const chart::chart> health,
                     std::unique_ptr<target_chooser> chooser);
    ~target_directory() override;
    target_directory(const target_directory&) = delete;
    target_directory& operator=(const target_directory&) = delete;

    /// Takes in a list of targets.
    void on_targets(const targets_listed& listed, core::instant now);

    /// Takes in the list of instances: they share out their preferences.
    void on_members(const std::vector<member>& members);

    /// @return where the request should go, empty where no target is listed
    [[nodiscard]] std::optional<placement> choose(const placement_query& query, core::instant now);

    /// @return the targets that are worth asking for their load, in more than one failure domain
    ///         where possible; empty where no target is listed
    [[nodiscard]] std::vector<target_record> survey(const placement_query& query,
                                                    core::instant now);

    /// @return a target in another failure domain that could get a copy of a request's memory,
    ///         empty where there is none
    [[nodiscard]] std::optional<target_record>
    find_standby(const placement_query& query, const target_record& target, core::instant now);

    /// @return the targets that are gone or leave since the last call: copies there are lost
    [[nodiscard]] std::vector<core::target_name> take_ending();

    /// Counts a request that was sent.
    void on_opened(const placement& placed, std::uint64_t prompt_tokens);
    /// Counts that a target has read a prompt.
    void on_first_event(const core::target_name& target, std::uint64_t prompt_tokens);
    /// Counts that the copies of a request go to another standby.
    void on_standby_changed(const std::optional<target_record>& from, const target_record& to);
    /// Counts that an attempt has ended.
    /// @param unread_tokens prompt tokens that were not read
    void on_closed(const placement& placed, std::uint64_t unread_tokens);

    void on_loss(const core::target_name& target, core::instant now);
    void on_success(const core::target_name& target, core::instant now);

    /// Another target has the address: this one is gone, whatever the list says.
    void on_misdirected(const core::target_name& target);

    [[nodiscard]] std::size_t size() const { return targets_.size(); }

  private:
    struct known_target {
        core::cell<target_record> record;
        std::unique_ptr<routing::target_health> health;
        own_work work;
        double place = 0.0;
    };

    const relay_settings settings_;
    std::shared_ptr<const chart::chart> health_chart_;
    std::unique_ptr<target_chooser> chooser_;
    /// The last losses of a service in a failure domain, by target.
    using loss_times = std::map<core::target_name, core::instant>;

    std::map<core::target_name, known_target> targets_;
    std::map<std::pair<core::service_name, core::failure_domain_name>, loss_times> losses_;
    std::vector<core::target_name> ending_;
    double own_place_ = 0.0;
    std::size_t ejected_ = 0;

    [[nodiscard]] bool can_eject_another() const override;
    void on_ejection_changed(bool ejected) override;

    void add(const target_record& record, core::instant now);
    void share_places();
    [[nodiscard]] double distance_to(const known_target& target) const;
    [[nodiscard]] std::vector<const known_target*>
    best_class(const placement_query& query, const core::failure_domain_name* other_than,
               core::instant now);
    [[nodiscard]] std::vector<candidate> compare(const std::vector<const known_target*>& targets,
                                                 const placement_query& query) const;
    [[nodiscard]] const known_target* pick(const placement_query& query,
                                           const core::failure_domain_name* other_than,
                                           core::instant now);
    [[nodiscard]] bool is_domain_doubtful(const target_record& record, core::instant now) const;
    template <class Condition>
    [[nodiscard]] std::vector<core::target_name> names_where(Condition condition) const;
    void change_copies(const std::optional<target_record>& standby, int change);
    void forget(const core::target_name& target, std::string_view reason);
    known_target* find(const core::target_name& name);
};

} // namespace cyclamen::relay
