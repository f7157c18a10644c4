#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/identifier.hpp"
#include "limits/return_schedule.hpp"
#include "limits/start_policy.hpp"
#include "limits/waiting_line.hpp"

namespace cyclamen::limits {

/// Limits of the requests with an urgency that wait for room.
struct waiting_settings {
    /// Maximum number of requests of a service that wait at an instance: what it starts within the
    /// longest wait under full load.
    const std::size_t max_waiting = 4;
    /// Fraction of the goal for which a request may wait; the rest is for its prompt.
    const double wait_fraction = 0.6;

    auto operator<=>(const waiting_settings&) const = default;
};

/// Whether a waiting request may ask engines.
enum class waiting_state {
    /// It may ask.
    first,
    /// Others come before it.
    behind,
    /// It can't start in time any more, or a more urgent one has its place.
    ended,
};

/// Admission of new requests to the engines of all services at one instance. Where requests differ
/// in urgency, some wait for room in that order, and refused callers return at scheduled times.
/// Elsewhere at most one request of a service waits. If many asked for room, each would see the
/// same in the engines' reports, and they would all start at once. Used on the decision task.
class engine_admission {
  public:
    using policy_factory = std::function<std::unique_ptr<start_policy>()>;

    /// @param make_policy makes the policy of a service
    /// @param waiting limits of the requests that wait
    explicit engine_admission(policy_factory make_policy, waiting_settings waiting = {})
        : make_policy_{std::move(make_policy)}, settings_{waiting}
    {
    }

    /// A request has been accepted.
    void on_arrival(const core::service_name& service, const start_request& request);

    /// @param service service of the request
    /// @param number identifies the request at this instance
    /// @param request the request
    /// @param load the engine that was selected for it
    /// @return whether it starts there
    [[nodiscard]] start_decision decide(const core::service_name& service, std::uint64_t number,
                                        const start_request& request, const engine_load& load,
                                        core::instant now);

    /// @return whether a request for which decide() returned start_verdict::wait may ask engines
    [[nodiscard]] waiting_state state_of(const core::service_name& service, std::uint64_t number,
                                         core::instant now) const;

    /// Refuses a request that waited; its place is free.
    /// @return delay for its caller
    [[nodiscard]] core::duration refuse(const core::service_name& service, std::uint64_t number,
                                        urgency_rank urgency, core::instant now);

    /// @return true if the engine has room for a copy of the request's memory
    [[nodiscard]] bool has_room_for_copy(const core::service_name& service,
                                         const start_request& request, const engine_load& load);

    void on_first_event(const core::service_name& service, const start_observation& seen);
    void on_finished(const core::service_name& service, core::duration run_time);

    /// The request no longer waits; ignored if it didn't.
    void on_ended(const core::service_name& service, std::uint64_t number);

  private:
    const policy_factory make_policy_;
    const waiting_settings settings_;
    std::map<core::service_name, std::unique_ptr<start_policy>> policies_;
    /// The request that waits for room, by service.
    std::map<core::service_name, std::uint64_t> waiting_;
    /// Requests that wait in order of urgency, by service.
    std::map<core::service_name, waiting_line> lines_;
    std::map<core::service_name, return_schedule> returns_;

    [[nodiscard]] start_decision decide_in_order(const core::service_name& service,
                                                 std::uint64_t number, const start_request& request,
                                                 const engine_load& load, core::instant now);
    start_policy& policy_of(const core::service_name& service);
};

} // namespace cyclamen::limits
