#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "limits/send_policy.hpp"
#include "relay/target.hpp"

namespace cyclamen::relay {

/// The send policies of the plain services that this instance has calls for. Used by the relay
/// manager on the decision task.
class call_shares final {
  public:
    using policy_factory = std::function<std::unique_ptr<limits::send_policy>()>;

    /// @param make_policy makes the policy of a service
    explicit call_shares(policy_factory make_policy) : make_policy_{std::move(make_policy)} {}

    /// @return true if calls of the service have been sent
    [[nodiscard]] bool has(const core::service_name& service) const
    {
        return services_.contains(service);
    }
    /// @return the services whose calls have been sent
    [[nodiscard]] std::vector<core::service_name> services() const;

    /// @param count instances of the fleet, including this one
    void set_instances(std::size_t count, core::instant now);
    /// Replaces the listed targets of a service.
    void set_targets(const core::service_name& service, const std::vector<target_record>& targets);

    /// @return true if calls of the service need a share
    [[nodiscard]] bool limits_at(const core::service_name& service, core::instant now) const;
    /// @param service a service whose targets were set
    [[nodiscard]] limits::send_decision decide(const core::service_name& service,
                                               const limits::send_request& request,
                                               core::instant now);
    void on_sent(const core::service_name& service, const core::target_name& target,
                 core::instant now);
    void on_answered(const core::service_name& service, const core::target_name& target,
                     core::duration goal, core::duration took, core::instant now);
    void on_rejected(const core::service_name& service, const core::target_name& target,
                     core::instant now);
    void on_lost(const core::target_name& target, core::instant now);
    void on_ended(const core::service_name& service, std::uint64_t number);

  private:
    struct service_share {
        std::unique_ptr<limits::send_policy> policy;
        std::set<core::target_name> listed;
    };

    const policy_factory make_policy_;
    std::map<core::service_name, service_share> services_;
    std::size_t instances_ = 1;
    std::optional<core::instant> fleet_known_at_;

    [[nodiscard]] limits::send_policy* find(const core::service_name& service) const;
    /// Reports what a target has shown to the policy of its service, and logs what has changed.
    void report(const core::service_name& service, const core::target_name& target,
                std::string_view reason, core::instant now,
                const std::function<void(limits::send_policy&)>& event);
};

} // namespace cyclamen::relay
