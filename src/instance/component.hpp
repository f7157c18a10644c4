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

/// Everything that the decision task hears from the tasks that own sockets.
using decision_message =
    std::variant<api::front_event, api::engine_event, api::peer_event, api::lifecycle_command,
                 api::table_event, api::target_event, api::service_event>;

/// One concern of an instance on the decision task, such as generations or membership: connects
/// decision code, which knows no task, with the messages of this instance. Called by the decision
/// task on its thread.
class component {
  public:
    virtual ~component() = default;

    /// Starts, after all components exist and the senders work.
    virtual void on_start(core::instant /*now*/) {}

    /// Takes over a configuration that is in force from now on.
    virtual void on_configuration(const model::configuration_ptr& /*configuration*/,
                                  core::instant /*now*/)
    {
    }

    /// Hears every message; handles those that concern it.
    virtual void on_message(const decision_message& message, core::instant now) = 0;

    /// @return when on_timer() should be called next, empty where nothing waits for time
    [[nodiscard]] virtual std::optional<core::instant> next_deadline() const
    {
        return std::nullopt;
    }

    /// Does what is due.
    virtual void on_timer(core::instant /*now*/) {}
};

} // namespace cyclamen::instance
