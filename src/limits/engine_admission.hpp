#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/identifier.hpp"
#include "limits/start_policy.hpp"

namespace cyclamen::limits {

/// Admission of new requests to the engines of all services at one instance. At most one request of
/// a service waits for room: if many did, each would see the same room in the engines' reports, and
/// they would all start at once. Used on the decision task.
class engine_admission {
  public:
    using policy_factory = std::function<std::unique_ptr<start_policy>()>;

    /// @param make_policy makes the policy of a service
    explicit engine_admission(policy_factory make_policy) : make_policy_{std::move(make_policy)} {}

    /// @param service service of the request
    /// @param number identifies the request at this instance
    /// @param request the request
    /// @param load the engine that was selected for it
    /// @return whether it starts there
    [[nodiscard]] start_decision decide(const core::service_name& service, std::uint64_t number,
                                        const start_request& request, const engine_load& load);

    /// @return true if the engine has room for a copy of the request's memory
    [[nodiscard]] bool has_room_for_copy(const core::service_name& service,
                                         const start_request& request, const engine_load& load);

    void on_first_event(const core::service_name& service, const start_observation& seen);
    void on_finished(const core::service_name& service, core::duration run_time);

    /// The request no longer waits; ignored if it didn't.
    void on_ended(const core::service_name& service, std::uint64_t number);

  private:
    const policy_factory make_policy_;
    std::map<core::service_name, std::unique_ptr<start_policy>> policies_;
    /// The request that waits for room, by service.
    std::map<core::service_name, std::uint64_t> waiting_;

    start_policy& policy_of(const core::service_name& service);
};

} // namespace cyclamen::limits
