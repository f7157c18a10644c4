#pragma once

#include <optional>
#include <variant>

#include "api/call_messages.hpp"
#include "api/caller_messages.hpp"
#include "api/engine_messages.hpp"
#include "api/lifecycle_messages.hpp"
#include "api/peer_messages.hpp"
#include "api/table_messages.hpp"
#include "api/target_messages.hpp"
#include "core/time.hpp"
#include "model/configuration.hpp"

namespace cyclamen::instance {

/// All messages to the decision task, from the tasks that own sockets and from the owner of the
/// instance.
using decision_message =
    std::variant<api::front_event, api::engine_event, api::peer_event, api::lifecycle_command,
                 api::table_event, api::target_event, api::service_event>;

/// One concern of an instance on the decision task, such as generations or membership. It connects
/// decision code, which is independent of tasks, to the messages of this instance. Called on the
/// decision task.
class component {
  public:
    virtual ~component() = default;

    /// Starts the component. Called after all components have been added and the senders work.
    virtual void on_start(core::instant /*now*/) {}

    /// Applies a configuration that has come into force.
    virtual void on_configuration(const model::configuration_ptr& /*configuration*/,
                                  core::instant /*now*/)
    {
    }

    /// Called with every message; the component ignores those that don't concern it.
    virtual void on_message(const decision_message& message, core::instant now) = 0;

    /// @return when on_timer() must be called next; empty if no timer is pending
    [[nodiscard]] virtual std::optional<core::instant> next_deadline() const
    {
        return std::nullopt;
    }

    /// Runs the timers whose deadline has passed.
    virtual void on_timer(core::instant /*now*/) {}
};

} // namespace cyclamen::instance
